#include "json-reader.h"

#include "drumlanding/base/settings.h"

#include <algorithm>
#include <cmath>

namespace drumlanding::bundle {
namespace {

const nlohmann::json EmptyObject = nlohmann::json::object();

std::string_view expectedTypeMessage(nlohmann::json::value_t type) {
  switch (type) {
  case nlohmann::json::value_t::string:
    return "expected a string";
  case nlohmann::json::value_t::array:
    return "expected an array";
  case nlohmann::json::value_t::object:
    return "expected an object";
  default:
    return "expected another type";
  }
}

} // namespace

std::string JsonReader::pathOf(std::string_view key) const {
  return Path.empty() ? std::string(key) : Path + "." + std::string(key);
}

void JsonReader::fail(const std::string &path,
                      const std::string &message) const {
  if (!Failure)
    Failure = base::invalid(path, message);
}

const nlohmann::json *JsonReader::member(std::string_view key,
                                         Json::value_t type) const {
  const auto it = Value.find(key);
  if (it == Value.end()) {
    fail(pathOf(key), "is missing");
    return nullptr;
  }
  if (it->type() == type)
    return &*it;
  fail(pathOf(key), std::string(expectedTypeMessage(type)));
  return nullptr;
}

std::string JsonReader::text(std::string_view key) const {
  const Json *found = member(key, Json::value_t::string);
  return found ? found->get<std::string>() : std::string();
}

std::string JsonReader::name(std::string_view key) const {
  std::string found = text(key);
  const auto r = base::checkName(pathOf(key), found);
  if (!ok(r))
    fail(pathOf(key), base::error(r).Message);
  return found;
}

double JsonReader::number(std::string_view key, Range range) const {
  const auto it = Value.find(key);
  if (it == Value.end()) {
    fail(pathOf(key), "is missing");
    return range.Min;
  }
  const bool inRange = it->is_number() && it->get<double>() >= range.Min &&
                       it->get<double>() <= range.Max;
  if (inRange)
    return it->get<double>();
  fail(pathOf(key), "expected a number from " + Json(range.Min).dump() +
                        " to " + Json(range.Max).dump());
  return range.Min;
}

std::int64_t JsonReader::integer(std::string_view key, Range range) const {
  const double found = number(key, range);
  if (std::floor(found) != found)
    fail(pathOf(key), "expected an integer");
  return static_cast<std::int64_t>(found);
}

std::vector<std::string> JsonReader::names(std::string_view key) const {
  std::vector<std::string> found;
  const Json *array = member(key, Json::value_t::array);
  for (std::size_t i = 0; array && i < array->size(); ++i) {
    const std::string path = pathOf(key) + "[" + std::to_string(i) + "]";
    if (!(*array)[i].is_string()) {
      fail(path, "expected a string");
      return found;
    }
    found.push_back((*array)[i].get<std::string>());
    if (const auto r = base::checkName(path, found.back()); !ok(r))
      fail(path, base::error(r).Message);
  }
  return found;
}

JsonReader JsonReader::object(std::string_view key) const {
  const Json *found = member(key, Json::value_t::object);
  return JsonReader(found ? *found : EmptyObject, pathOf(key), Failure);
}

void JsonReader::allowOnly(
    std::initializer_list<std::string_view> known) const {
  for (const auto &[key, ignored] : Value.items())
    if (std::find(known.begin(), known.end(), key) == known.end())
      fail(pathOf(key), "is not a known field");
}

} // namespace drumlanding::bundle
