#include "api.h"

#include "drumlanding/base/json-depth.h"

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>

namespace drumlanding::entry {
namespace {

using base::Reason;
using base::Refusal;
using base::Result;
using Json = nlohmann::json;

constexpr std::string_view GenerationsPath = "/v1/generations";
constexpr std::string_view ServicesPath = "/v1/services/";
constexpr std::uint32_t DefaultMaxTokens = 4'096;
constexpr std::size_t UuidLength = 36;
constexpr std::string_view IdempotencyKeyHeader = "Idempotency-Key";

std::string credentialOf(const http::Request &request) {
  constexpr std::string_view Scheme = "Bearer ";
  const std::string_view header = request.header("Authorization");
  return header.starts_with(Scheme) ? std::string(header.substr(Scheme.size()))
                                    : std::string();
}

/// Returns an optional member, or `defaultValue` when it is absent; an error
/// when it has another type.
template <typename T>
Result<T> member(const Json &json, const char *key, T defaultValue,
                 bool (Json::*isType)() const noexcept, const char *type) {
  const auto it = json.find(key);
  if (it == json.end())
    return defaultValue;
  if (!((*it).*isType)())
    return base::invalid(key, "expected " + std::string(type));
  return it->template get<T>();
}

/// Parses an object with the fields of a generation. Neither unknown fields nor
/// nested values are kept, since they can take far more memory than their text.
Result<Json> parseFields(const std::string &text) {
  constexpr std::string_view Known[] = {"model",     "version",   "adapter",
                                        "prompt",    "maxTokens", "stream",
                                        "repeatable"};
  if (base::isNestedDeeper(text, 1))
    return base::invalid("body", "expected an object without nested values");
  std::string unknown;
  const auto keep = [&](int, Json::parse_event_t event, Json &item) {
    if (event != Json::parse_event_t::key)
      return true;
    const std::string &key = item.get_ref<const std::string &>();
    const bool isKnown =
        std::find(std::begin(Known), std::end(Known), key) != std::end(Known);
    if (!isKnown && unknown.empty())
      unknown = key;
    return isKnown;
  };
  Json json = Json::parse(text, keep, false);
  if (!json.is_object())
    return base::invalid("body", "expected a JSON object");
  if (!unknown.empty())
    return base::invalid(unknown, "is not a known field");
  return json;
}

Result<CallerRequest> readGeneration(const http::Request &request) {
  const auto fields = parseFields(request.Body);
  if (!ok(fields))
    return error(fields);
  const Json &json = value(fields);
  const std::string none;
  const auto text = [&](const char *key) {
    return member<std::string>(json, key, none, &Json::is_string, "a string");
  };
  const auto flag = [&](const char *key) {
    return member<bool>(json, key, true, &Json::is_boolean, "true or false");
  };
  ParsedGeneration parsed;
  GenerationRequested &generation = parsed.Request;
  for (const auto &[key, target] : {std::pair("model", &generation.Model),
                                    std::pair("version", &generation.Version),
                                    std::pair("adapter", &generation.Adapter),
                                    std::pair("prompt", &generation.Prompt)}) {
    const auto r = text(key);
    if (!ok(r))
      return error(r);
    *target = value(r);
  }
  if (generation.Model.empty() || generation.Prompt.empty())
    return base::invalid(generation.Model.empty() ? "model" : "prompt",
                         "is missing");
  const auto stream = flag("stream");
  const auto repeatable = flag("repeatable");
  if (!ok(stream) || !ok(repeatable))
    return ok(stream) ? error(repeatable) : error(stream);
  parsed.Stream = value(stream);
  generation.Repeatable = value(repeatable);
  const auto maxTokens =
      member<std::uint32_t>(json, "maxTokens", DefaultMaxTokens,
                            &Json::is_number_unsigned, "a positive integer");
  if (!ok(maxTokens))
    return error(maxTokens);
  if (value(maxTokens) == 0)
    return base::invalid("maxTokens", "expected a positive integer");
  generation.MaxTokens = value(maxTokens);
  generation.Credential = credentialOf(request);
  return parsed;
}

Result<CallerRequest> readResume(const http::Request &request,
                                 std::string_view id) {
  ResumeRequested resume;
  resume.Credential = credentialOf(request);
  resume.RequestId = std::string(id);
  const std::string_view last = request.header("Last-Event-ID");
  if (last.empty())
    return resume;
  std::uint32_t index = 0;
  const auto [end, ec] =
      std::from_chars(last.data(), last.data() + last.size(), index);
  if (ec != std::errc() || end != last.data() + last.size())
    return base::invalid("Last-Event-ID", "expected the index of a token");
  resume.NextIndex = index + 1;
  return resume;
}

Result<CallerRequest> readCall(const http::Request &request) {
  CallRequested call;
  std::string_view rest = request.Target;
  rest.remove_prefix(ServicesPath.size());
  const auto slash = rest.find('/');
  call.Service = std::string(rest.substr(0, slash));
  call.Path =
      slash == std::string_view::npos ? "/" : std::string(rest.substr(slash));
  call.Credential = credentialOf(request);
  call.Method = request.Method;
  call.Body = request.Body;
  const std::string_view header = request.header("Drumlanding-Repeatable");
  if (!header.empty() && header != "true" && header != "false")
    return base::invalid("Drumlanding-Repeatable", "expected true or false");
  const bool isSafeMethod = call.Method == "GET" || call.Method == "HEAD";
  call.Repeatable = header.empty() ? isSafeMethod : header == "true";
  if (call.Repeatable)
    return call;
  call.Key = std::string(request.header(IdempotencyKeyHeader));
  const auto time = idempotencyKeyTime(call.Key);
  if (!ok(time))
    return error(time);
  call.KeyTime = value(time);
  return call;
}

} // namespace

Result<base::WallTime> idempotencyKeyTime(std::string_view uuid) {
  const base::Error invalidKey =
      base::invalid(std::string(IdempotencyKeyHeader),
                    "a call that is not repeatable needs a version 7 UUID");
  if (uuid.size() != UuidLength)
    return invalidKey;
  std::string digits;
  for (std::size_t i = 0; i < uuid.size(); ++i) {
    const bool isDash = i == 8 || i == 13 || i == 18 || i == 23;
    if (isDash != (uuid[i] == '-'))
      return invalidKey;
    if (!isDash)
      digits += uuid[i];
  }
  constexpr std::size_t VersionDigit = 12;
  constexpr std::size_t TimeDigits = 12;
  if (!ok(base::parseHex("", digits, digits.size() / 2)) ||
      digits[VersionDigit] != '7')
    return invalidKey;
  std::int64_t ms = 0;
  std::from_chars(digits.data(), digits.data() + TimeDigits, ms, 16);
  return base::WallTime(base::milliseconds(ms));
}

Result<CallerRequest> readCallerRequest(const http::Request &request) {
  const std::string_view path = request.path();
  if (path == GenerationsPath && request.Method == "POST")
    return readGeneration(request);
  if (path.starts_with(ServicesPath))
    return readCall(request);
  if (path.starts_with(GenerationsPath) &&
      path.size() > GenerationsPath.size() + 1) {
    const std::string_view id = path.substr(GenerationsPath.size() + 1);
    if (request.Method == "GET")
      return readResume(request, id);
    if (request.Method == "DELETE")
      return CancelRequested{0, credentialOf(request), std::string(id)};
  }
  return base::Error{base::ErrorCode::NotFound,
                     request.Method + " " + std::string(path),
                     "no such endpoint"};
}

std::string refusalJson(const Refusal &why, std::string_view detail) {
  const std::string_view sentence =
      detail.empty() ? base::describe(why.Reason) : detail;
  return Json{{"error",
               {{"verdict", toString(why.Outcome)},
                {"reason", toString(why.Reason)},
                {"message", sentence},
                {"retryAfterMs", why.RetryAfter.count()}}}}
      .dump(-1, ' ', false, Json::error_handler_t::replace);
}

http::Response refusalResponse(const Refusal &why, std::string_view detail) {
  http::Response response;
  response.Status = base::httpStatus(why.Reason);
  response.ContentType = "application/json";
  response.Body = refusalJson(why, detail) + "\n";
  response.Headers = {
      {"Drumlanding-Verdict", std::string(toString(why.Outcome))},
      {"Drumlanding-Reason", std::string(toString(why.Reason))}};
  if (why.RetryAfter.count() > 0)
    response.Headers.push_back(
        {"Retry-After", std::to_string((why.RetryAfter.count() + 999) / 1000)});
  return response;
}

} // namespace drumlanding::entry
