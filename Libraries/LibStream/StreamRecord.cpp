#include "LibStream/StreamRecord.h"

#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/string.hpp>
#include <sstream>

namespace bergamothook {

namespace {

constexpr std::uint8_t FormatVersion = 1;
// An empty record: its identifier, its writer, its kind and the length of its
// body.
constexpr std::size_t SmallestRecordBytes = 16 + 16 + 2 + 8;
constexpr std::size_t HeaderBytes = 1 + 1 + 4;

/// Checks lengths before cereal allocates by them.
bool hasSaneLengths(std::string_view Payload) {
  std::size_t At = HeaderBytes;
  while (At < Payload.size()) {
    constexpr std::size_t LengthAt = SmallestRecordBytes - 8;
    if (Payload.size() - At < SmallestRecordBytes)
      return false;
    std::uint64_t Length = 0;
    for (int Byte = 7; Byte >= 0; --Byte)
      Length = Length << 8 |
               static_cast<unsigned char>(Payload[At + LengthAt + Byte]);
    At += SmallestRecordBytes;
    if (Length > Payload.size() - At)
      return false;
    At += Length;
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
  // The first byte is cereal's mark of the byte order.
  if (Payload.size() < HeaderBytes || Payload[0] != 1)
    return StreamError::Malformed;
  if (static_cast<std::uint8_t>(Payload[1]) != FormatVersion)
    return StreamError::UnknownVersion;
  if (!hasSaneLengths(Payload))
    return StreamError::Malformed;
  try {
    std::istringstream In{std::string(Payload)};
    cereal::PortableBinaryInputArchive Archive(In);
    std::uint8_t Version = 0;
    std::uint32_t Count = 0;
    Archive(Version, Count);
    if (Count > Payload.size() / SmallestRecordBytes)
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
