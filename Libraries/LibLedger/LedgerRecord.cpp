#include "LibLedger/LedgerRecord.h"

#include "LibLedger/MemoryStream.h"

#include <array>
#include <cereal/archives/portable_binary.hpp>
#include <sstream>

namespace bergamothook {

namespace {

constexpr std::uint64_t SettleIdSeed = 0x5e771e;

template <typename Body> Result<LedgerBody> decodeAs(const std::string &Bytes) {
  detail::MemoryStream In(Bytes);
  Body Decoded;
  try {
    cereal::PortableBinaryInputArchive Archive(In.Stream);
    Archive(Decoded);
  } catch (const cereal::Exception &) {
    return LedgerError::Malformed;
  }
  if (!In.isAtEnd())
    return LedgerError::Malformed;
  return LedgerBody{std::move(Decoded)};
}

using Decoder = Result<LedgerBody> (*)(const std::string &);

template <std::size_t... Index>
constexpr auto decodersOf(std::index_sequence<Index...>) {
  return std::array<Decoder, sizeof...(Index)>{
      decodeAs<std::variant_alternative_t<Index, LedgerBody>>...};
}

/// Decoders by record kind, starting at kind 1.
constexpr auto Decoders =
    decodersOf(std::make_index_sequence<std::variant_size_v<LedgerBody>>{});

} // namespace

StreamRecord makeLedgerRecord(RecordId Id, Incarnation Writer,
                              const LedgerBody &Body) {
  std::ostringstream Out;
  {
    cereal::PortableBinaryOutputArchive Archive(
        Out, cereal::PortableBinaryOutputArchive::Options::LittleEndian());
    std::visit([&](const auto &Typed) { Archive(Typed); }, Body);
  }
  auto Kind = static_cast<std::uint16_t>(Body.index() + 1);
  return {Id, Writer, Kind, std::move(Out).str()};
}

Result<LedgerBody> decodeLedgerBody(const StreamRecord &Record) {
  if (Record.Kind == 0 || Record.Kind > Decoders.size())
    return LedgerError::Malformed;
  return Decoders[Record.Kind - 1](Record.Body);
}

RecordId settleRecordId(RequestId Request, Incarnation Holder,
                        LedgerEpoch Epoch) {
  std::uint64_t Words[] = {Request.High, Request.Low, Holder.Host.Value,
                           Holder.Run, Epoch};
  return hash128({reinterpret_cast<const char *>(Words), sizeof(Words)},
                 SettleIdSeed);
}

std::uint32_t ledgerShardOf(TeamId Team, std::uint32_t ShardCount) {
  std::string_view Bytes(reinterpret_cast<const char *>(&Team.Value),
                         sizeof(Team.Value));
  return static_cast<std::uint32_t>(hash64(Bytes) % ShardCount);
}

std::string ledgerStreamName(std::uint32_t Shard) {
  return "ledger-" + std::to_string(Shard);
}

std::string ledgerStreamOf(TeamId Team, std::uint32_t ShardCount) {
  return ledgerStreamName(ledgerShardOf(Team, ShardCount));
}

} // namespace bergamothook
