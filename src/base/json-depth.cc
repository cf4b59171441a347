#include "drumlanding/base/json-depth.h"

namespace drumlanding::base {

bool isNestedDeeper(std::string_view json, int most) {
  int depth = 0;
  bool isInString = false;
  for (std::size_t i = 0; i < json.size(); ++i) {
    const char c = json[i];
    if (c == '"')
      isInString = !isInString;
    else if (isInString && c == '\\')
      ++i;
    else if (!isInString && (c == '[' || c == '{') && ++depth > most)
      return true;
    else if (!isInString && (c == ']' || c == '}'))
      --depth;
  }
  return false;
}

} // namespace drumlanding::base
