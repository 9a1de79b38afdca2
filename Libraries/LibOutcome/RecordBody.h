/// \file
/// The encoding of record bodies and snapshots.

#ifndef BERGAMOTHOOK_LIBOUTCOME_RECORDBODY_H
#define BERGAMOTHOOK_LIBOUTCOME_RECORDBODY_H

#include "LibBase/Result.h"
#include "LibOutcome/OutcomeError.h"

#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/map.hpp>
#include <cereal/types/set.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>
#include <sstream>
#include <string>
#include <string_view>

namespace bergamothook::detail {

template <typename Body> std::string encodeBody(const Body &Content) {
  std::ostringstream Out;
  {
    cereal::PortableBinaryOutputArchive Archive(
        Out, cereal::PortableBinaryOutputArchive::Options::LittleEndian());
    Archive(Content);
  }
  return std::move(Out).str();
}

/// Decodes the output of encodeBody(). Fails with OutcomeError::MalformedRecord
/// for any other input, also where a corrupt length makes the standard library
/// throw.
template <typename Body> Result<Body> decodeBody(std::string_view Bytes) {
  try {
    std::istringstream In{std::string(Bytes)};
    cereal::PortableBinaryInputArchive Archive(In);
    Body Content;
    Archive(Content);
    if (In.peek() != std::istringstream::traits_type::eof())
      return OutcomeError::MalformedRecord;
    return Content;
  } catch (const std::exception &) {
    return OutcomeError::MalformedRecord;
  }
}

} // namespace bergamothook::detail

#endif
