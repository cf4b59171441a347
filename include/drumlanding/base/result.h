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

/// The kind of an error, by which a caller chooses its reaction.
enum class ErrorCode {
  InvalidInput, ///< The input is invalid; a retry cannot succeed.
  NotFound,     ///< The named thing does not exist.
  Conflict,     ///< Another writer changed it first.
  Unavailable,  ///< The peer is unreachable or refuses temporarily.
  TimedOut,     ///< No response in time; it may have taken effect.
  Forbidden,    ///< The credential or signature does not permit it.
  Closed,       ///< The peer closed the connection.
  Malformed,    ///< The peer sent something that is no message.
  TooLarge,     ///< The peer sent more than is allowed.
};

/// An error and its place: a flag, a path in a document or a peer.
struct Error {
  ErrorCode Code = ErrorCode::InvalidInput;
  std::string Where;
  std::string Message;
};

template <typename T> using Result = std::variant<T, Error>;

/// The value of a successful operation that returns no data.
struct Done {};

template <typename T> bool ok(const Result<T> &r) { return r.index() == 0; }
template <typename T> T &value(Result<T> &r) { return std::get<0>(r); }
template <typename T> const T &value(const Result<T> &r) {
  return std::get<0>(r);
}
template <typename T> const Error &error(const Result<T> &r) {
  return std::get<1>(r);
}

/// Returns the error as one line of text, "where: message".
inline std::string describe(const Error &e) {
  return e.Where.empty() ? e.Message : e.Where + ": " + e.Message;
}

inline Error invalid(std::string where, std::string message) {
  return {ErrorCode::InvalidInput, std::move(where), std::move(message)};
}

} // namespace drumlanding::base
