/// The requests that callers of the cases send.
#pragma once

#include "config.h"

#include <cstdio>
#include <string>

namespace drumlanding::review {

/// Returns an id of a request: a letter of its own and seven hexadecimal
/// digits.
inline std::string makeId(char prefix, int number) {
  char id[32];
  std::snprintf(id, sizeof(id), "%c%07x", prefix, number);
  return id;
}

/// Returns the headers that all requests have, after the request line.
inline std::string commonHeaders(const std::string &id, int deadlineMs,
                                 const std::string &key = Key) {
  return std::string("Host: ") + Host + "\r\nX-Attempt-Id: " + id +
         "\r\nX-Deadline-Ms: " + std::to_string(deadlineMs) +
         "\r\nX-Api-Key: " + key + "\r\n";
}

/// A short stream, on a channel of its own.
inline std::string streamRequest(const std::string &id) {
  constexpr int DeadlineMs = 6'000;
  return std::string("POST ") + StreamPath + " HTTP/1.1\r\n" +
         commonHeaders(id, DeadlineMs) +
         "X-Model: m\r\nX-Token-Usage: 2200,16\r\n"
         "X-Prompt-Prefix: 5c1e07a2:350," +
         id + ":1850\r\nConnection: close\r\nContent-Length: 4\r\n\r\nhint";
}

/// A long stream, on a channel of its own: 236 events of four tokens.
inline std::string longStreamRequest(const std::string &id, int promptTokens) {
  constexpr int DeadlineMs = 39'000;
  const std::string tokens = std::to_string(promptTokens);
  return std::string("POST ") + LongStreamPath + " HTTP/1.1\r\n" +
         commonHeaders(id, DeadlineMs) +
         "X-Model: m\r\nX-Token-Usage: " + tokens +
         ",944\r\nX-Prompt-Prefix: 5c1e07a2:79," + id + ":" + tokens +
         "\r\nConnection: close\r\nContent-Length: 4\r\n\r\nhint";
}

/// A request that may be repeated, on a channel of its own.
inline std::string sheetRequestWithKey(const std::string &id,
                                       const std::string &key) {
  constexpr int DeadlineMs = 3'000;
  return std::string("GET ") + SheetPath + " HTTP/1.1\r\n" +
         commonHeaders(id, DeadlineMs, key) + "Connection: close\r\n\r\n";
}

inline std::string sheetRequest(const std::string &id) {
  return sheetRequestWithKey(id, Key);
}

/// The head of a request that may not be repeated, on a channel that is kept.
inline std::string saveHead(const std::string &id, int bodyBytes) {
  constexpr int DeadlineMs = 3'000;
  return std::string("POST ") + SavePath + " HTTP/1.1\r\n" +
         commonHeaders(id, DeadlineMs) +
         "Content-Length: " + std::to_string(bodyBytes) + "\r\n\r\n";
}

} // namespace drumlanding::review
