#include "LibConfig/ConfigLogReader.h"

namespace bergamothook {

namespace {
constexpr std::size_t MaxEntriesPerRead = 256;
} // namespace

Result<std::size_t> ConfigLogReader::readToEnd() {
  std::size_t AppliedEntries = 0;
  for (;;) {
    auto Page = this->Log.Read(ConfigStream, this->Replica.position().Next,
                               MaxEntriesPerRead, Duration::zero());
    if (!Page && Page.error() == LogError::BelowRetention &&
        this->RecoverHook && this->RecoverHook())
      continue;
    if (!Page)
      return Page.error();
    for (const auto &Entry : Page.value().Entries)
      AppliedEntries += this->Replica.offer(Entry) == OfferOutcome::Applied;
    if (Page.value().Entries.empty() ||
        this->Replica.position().Next >= Page.value().Next)
      return AppliedEntries;
  }
}

} // namespace bergamothook
