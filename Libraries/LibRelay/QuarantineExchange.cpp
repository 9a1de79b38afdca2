#include "LibRelay/QuarantineExchange.h"

#include "LibPeer/MessageCodec.h"
#include "LibPeer/PeerFrame.h"

#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>

namespace bergamothook {

namespace {

constexpr std::uint16_t ReportsKind = FirstMessageKind + 112;
constexpr std::size_t MaxQueuedReports = 512;
constexpr std::size_t MaxReportsTaken = 64;
/// Messages between hosts may be lost.
constexpr unsigned SendsOfReport = 2;

/// The body of a message.
struct ReportsMessage {
  std::vector<QuarantineReport> Reports;

  bool isValid() const {
    return std::all_of(
        this->Reports.begin(), this->Reports.end(),
        [](const QuarantineReport &Report) { return Report.isValid(); });
  }

  template <typename Archive> void serialize(Archive &Ar) { Ar(this->Reports); }
};

} // namespace

QuarantineExchange::QuarantineExchange(RequestQuarantine &List,
                                       HostRoster &Roster,
                                       QuarantineExchangeHooks Hooks)
    : List(List), Roster(Roster), Hooks(std::move(Hooks)) {
  this->Hooks.SetHandler(
      ReportsKind,
      [this](const Incarnation &, std::string_view Body) -> Result<void> {
        BOOST_OUTCOME_TRY(Message, decodeMessage<ReportsMessage>(Body));
        if (!Message.isValid())
          return PeerError::Malformed;
        for (const QuarantineReport &Report : Message.Reports)
          this->List.onReport(Report, this->Hooks.Now());
        return success();
      });
}

QuarantineReport QuarantineExchange::QueuedReport::at(TimePoint Now) const {
  auto Waited = std::chrono::duration_cast<std::chrono::microseconds>(
      std::max(Duration::zero(), Now - this->QueuedAt));
  QuarantineReport Aged = this->Report;
  Aged.SentAgeMicroseconds += static_cast<std::uint64_t>(Waited.count());
  Aged.LostAgeMicroseconds += static_cast<std::uint64_t>(Waited.count());
  return Aged;
}

void QuarantineExchange::update() {
  TimePoint Now = this->Hooks.Now();
  this->List.update(Now);
  for (QuarantineReport &Report : this->List.takePendingReports(Now)) {
    // A loss may wait behind others; a decision may not.
    bool IsUrgent = Report.Kind != QuarantineReportKind::Loss;
    this->ForHosts.insert(IsUrgent ? this->ForHosts.begin()
                                   : this->ForHosts.end(),
                          {Report, Now, SendsOfReport});
    this->ForLog.push_back({std::move(Report), Now, 1});
  }
  while (this->ForHosts.size() > MaxQueuedReports)
    this->ForHosts.pop_back();
  while (this->ForLog.size() > MaxQueuedReports)
    this->ForLog.pop_front();
  this->sendQueued(Now);
}

/// Sends one datagram at most to each host.
void QuarantineExchange::sendQueued(TimePoint Now) {
  ReportsMessage Message;
  std::string Bytes;
  std::vector<QueuedReport> Again;
  while (!this->ForHosts.empty()) {
    QueuedReport &Next = this->ForHosts.front();
    Message.Reports.push_back(Next.at(Now));
    std::string Longer = encodeMessage(Message);
    if (Longer.size() > MaxDatagramBodyBytes)
      break;
    Bytes = std::move(Longer);
    if (--Next.SendsLeft > 0)
      Again.push_back(std::move(Next));
    this->ForHosts.pop_front();
  }
  this->ForHosts.insert(this->ForHosts.end(), Again.begin(), Again.end());
  if (Bytes.empty())
    return;
  for (HostId Host : this->Roster.otherResponsiveHosts())
    this->Hooks.Send(Host, ReportsKind, Bytes);
}

std::vector<QuarantineReport> QuarantineExchange::takeForLog() {
  std::vector<QuarantineReport> Out;
  while (!this->ForLog.empty() && Out.size() < MaxReportsTaken) {
    Out.push_back(this->ForLog.front().at(this->Hooks.Now()));
    this->ForLog.pop_front();
  }
  return Out;
}

void QuarantineExchange::repeatQuarantined() {
  for (QuarantineReport &Report : this->List.reportQuarantined())
    this->ForLog.push_back({std::move(Report), this->Hooks.Now(), 1});
}

} // namespace bergamothook
