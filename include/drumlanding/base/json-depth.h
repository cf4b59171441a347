/// The nesting of a JSON text, checked before it is parsed: a value takes far
/// more memory than the bracket that begins it.
#pragma once

#include <string_view>

namespace drumlanding::base {

/// Returns whether objects and arrays are nested more than `most` deep.
bool isNestedDeeper(std::string_view json, int most);

} // namespace drumlanding::base
