/// Reads validated values from a JSON document. Keeps the first error, with its
/// path.
#pragma once

#include "drumlanding/base/result.h"

#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace drumlanding::bundle {

/// The inclusive range of a number.
struct Range {
  double Min = 0;
  double Max = 0;
};

class JsonReader {
public:
  using Json = nlohmann::json;

  JsonReader(const Json &json, std::string path, std::optional<base::Error> &e)
      : Value(json), Path(std::move(path)), Failure(e) {}

  std::string text(std::string_view key) const;
  /// Returns a string that is a valid name; see base::checkName.
  std::string name(std::string_view key) const;
  double number(std::string_view key, Range range) const;
  /// Like `number`, but requires an integer.
  std::int64_t integer(std::string_view key, Range range) const;
  std::vector<std::string> names(std::string_view key) const;

  /// Calls `each` with a reader for every element of an array of objects.
  template <typename F> void objects(std::string_view key, F each) const {
    const Json *array = member(key, Json::value_t::array);
    for (std::size_t i = 0; array && i < array->size(); ++i) {
      const std::string path = pathOf(key) + "[" + std::to_string(i) + "]";
      if (!(*array)[i].is_object()) {
        fail(path, "expected an object");
        return;
      }
      each(JsonReader((*array)[i], path, Failure));
    }
  }
  JsonReader object(std::string_view key) const;

  bool has(std::string_view key) const { return Value.contains(key); }
  /// Fails on a key that is not in `known`, because a misspelt key would
  /// otherwise be ignored.
  void allowOnly(std::initializer_list<std::string_view> known) const;
  void fail(const std::string &path, const std::string &message) const;
  std::string pathOf(std::string_view key) const;

private:
  const Json *member(std::string_view key, Json::value_t type) const;

  const Json &Value;
  std::string Path;
  std::optional<base::Error> &Failure;
};

} // namespace drumlanding::bundle
