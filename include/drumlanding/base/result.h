/// Result<T>: a value or a typed error, without exceptions.
///
///   Result<Bundle> r = parseBundle(text);
///   if (!ok(r))
///     return error(r);
///   use(value(r));
#pragma once

#include <string>
#include <utility>
#include <variant>

namespace drumlanding::base {

/// What went wrong, so that a caller can choose what to do.
enum class ErrorCode {
  InvalidInput, ///< The input breaks a rule; asking again will not help.
  NotFound,     ///< The named thing does not exist.
  Conflict,     ///< Somebody else changed it first.
  Unavailable,  ///< The other side cannot be reached or refuses for now.
  TimedOut,     ///< No answer in time: the effect may have happened.
  Forbidden,    ///< The credential or signature does not allow it.
};

/// An error that names its place: a flag, a path in a document, a peer.
struct Error {
  ErrorCode Code = ErrorCode::InvalidInput;
  std::string Where;
  std::string Message;
};

template <typename T> using Result = std::variant<T, Error>;

/// Stands for success without a value.
struct Done {};

template <typename T> bool ok(const Result<T> &r) { return r.index() == 0; }
template <typename T> T &value(Result<T> &r) { return std::get<0>(r); }
template <typename T> const T &value(const Result<T> &r) {
  return std::get<0>(r);
}
template <typename T> const Error &error(const Result<T> &r) {
  return std::get<1>(r);
}

/// Returns "where: message", the one line shown to people.
inline std::string describe(const Error &e) {
  return e.Where.empty() ? e.Message : e.Where + ": " + e.Message;
}

inline Error invalid(std::string where, std::string message) {
  return {ErrorCode::InvalidInput, std::move(where), std::move(message)};
}

} // namespace drumlanding::base
