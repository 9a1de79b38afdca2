#include "LibStream/StreamRecord.h"

#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/string.hpp>
#include <sstream>

namespace bergamothook {

namespace {

constexpr std::uint8_t FormatVersion = 1;
// The size of a record with an empty body: identifier, writer, kind and length
// of the body.
constexpr std::size_t MinRecordBytes = 16 + 16 + 2 + 8;
constexpr std::size_t HeaderBytes = 1 + 1 + 4;

/// Checks the length fields, since cereal allocates memory by them.
bool hasValidLengths(std::string_view Payload) {
  std::size_t Position = HeaderBytes;
  while (Position < Payload.size()) {
    constexpr std::size_t LengthOffset = MinRecordBytes - 8;
    if (Payload.size() - Position < MinRecordBytes)
      return false;
    std::uint64_t Length = 0;
    for (int Byte = 7; Byte >= 0; --Byte)
      Length = Length << 8 | static_cast<unsigned char>(
                                 Payload[Position + LengthOffset + Byte]);
    Position += MinRecordBytes;
    if (Length > Payload.size() - Position)
      return false;
    Position += Length;
  }
  return true;
}

} // namespace

std::string encodeBatch(const std::vector<StreamRecord> &Records) {
  std::ostringstream Out;
  {
    cereal::PortableBinaryOutputArchive Archive(
        Out, cereal::PortableBinaryOutputArchive::Options::LittleEndian());
    Archive(FormatVersion, static_cast<std::uint32_t>(Records.size()));
    for (const auto &Record : Records)
      Archive(Record);
  }
  return std::move(Out).str();
}

Result<std::vector<StreamRecord>> decodeBatch(std::string_view Payload) {
  // The first byte is the byte order mark of cereal.
  if (Payload.size() < HeaderBytes || Payload[0] != 1)
    return StreamError::Malformed;
  if (static_cast<std::uint8_t>(Payload[1]) != FormatVersion)
    return StreamError::UnknownVersion;
  if (!hasValidLengths(Payload))
    return StreamError::Malformed;
  try {
    std::istringstream In{std::string(Payload)};
    cereal::PortableBinaryInputArchive Archive(In);
    std::uint8_t Version = 0;
    std::uint32_t Count = 0;
    Archive(Version, Count);
    if (Count > Payload.size() / MinRecordBytes)
      return StreamError::Malformed;
    std::vector<StreamRecord> Records(Count);
    for (auto &Record : Records)
      Archive(Record);
    if (In.peek() != std::istringstream::traits_type::eof())
      return StreamError::Malformed;
    return Records;
  } catch (const cereal::Exception &) {
    return StreamError::Malformed;
  }
}

} // namespace bergamothook
