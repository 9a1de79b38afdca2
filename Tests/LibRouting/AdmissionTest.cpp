#include "LibRouting/Admission.h"

#include <doctest/doctest.h>
#include <map>

using namespace bergamothook;
using namespace std::chrono_literals;

namespace {

const TimePoint Start{1h};

AdmissionRequest request(std::uint64_t Team, WorkClass Class,
                         Duration Timeout = 1h) {
  static std::uint64_t Count = 0;
  AdmissionRequest Request;
  Request.Request = {0, ++Count};
  Request.Team = TeamId{Team};
  Request.Class = Class;
  Request.Cost = 100;
  Request.Deadline = Start + Timeout;
  return Request;
}

} // namespace

TEST_CASE("quick answers overtake drafts and drafts are not starved") {
  Admission Queue({});
  for (int I = 0; I < 10; ++I)
    CHECK(Queue.admit(request(1, WorkClass::LongDraft), Start));
  int FirstDraft = 0;
  int Drafts = 0;
  constexpr int Rounds = 60;
  for (int I = 1; I <= Rounds; ++I) {
    CHECK(Queue.admit(request(2, WorkClass::QuickAnswer), Start));
    auto Next = Queue.next(Start);
    REQUIRE(Next);
    if (Next->Request.Class != WorkClass::LongDraft)
      continue;
    ++Drafts;
    FirstDraft = FirstDraft ? FirstDraft : I;
  }
  CHECK(FirstDraft > 5);
  CHECK(Drafts >= Rounds / 12);
}

TEST_CASE("a higher priority goes first and a lower one is not starved") {
  Admission Queue({});
  for (int I = 0; I < 5; ++I)
    CHECK(Queue.admit(request(1, WorkClass::QuickAnswer), Start));
  int Low = 0;
  for (int I = 0; I < 30; ++I) {
    AdmissionRequest High = request(2, WorkClass::LongDraft);
    High.Priority = 5;
    CHECK(Queue.admit(High, Start));
    auto Next = Queue.next(Start);
    if (I == 0)
      CHECK(Next->Request.Priority == 5);
    Low += Next->Request.Priority == 0 ? 1 : 0;
  }
  CHECK(Low >= 2);
  CHECK(Low <= 4);
}

TEST_CASE("teams of one priority share by weight") {
  Admission Queue({});
  for (int I = 0; I < 300; ++I) {
    AdmissionRequest Heavy = request(1, WorkClass::QuickAnswer);
    Heavy.Weight = 3;
    CHECK(Queue.admit(Heavy, Start));
    CHECK(Queue.admit(request(2, WorkClass::QuickAnswer), Start));
  }
  std::map<std::uint64_t, int> Started;
  for (int I = 0; I < 200; ++I) {
    auto Next = Queue.next(Start);
    REQUIRE(Next);
    ++Started[Next->Request.Team.Value];
    CHECK(Queue.finish(Next->Ticket, Start));
  }
  CHECK(Started[1] == doctest::Approx(150).epsilon(0.02));
}

TEST_CASE("a burst of one team does not delay another") {
  Admission Queue({});
  for (int I = 0; I < 500; ++I)
    CHECK(Queue.admit(request(1, WorkClass::QuickAnswer), Start));
  CHECK(Queue.admit(request(2, WorkClass::QuickAnswer), Start));
  CHECK(Queue.next(Start));
  CHECK(Queue.next(Start)->Request.Team == TeamId{2});
}

TEST_CASE("a request that cannot start in time is refused when it arrives") {
  AdmissionSettings Settings;
  Settings.AssumedCostPerSecond = 100;
  Admission Queue(Settings);
  for (int I = 0; I < 20; ++I)
    CHECK(Queue.admit(request(1, WorkClass::QuickAnswer), Start));
  AdmissionRequest Urgent = request(1, WorkClass::QuickAnswer, 2s);
  CHECK(Queue.admit(Urgent, Start).error() ==
        RoutingError::DeadlineUnreachable);
  // The 20 queued requests start at 0.9 per second, and the deadline is in 2 s.
  Duration After = Queue.retryAfter(Urgent, Start);
  CHECK(After > 15s);
  CHECK(After < 25s);
}

TEST_CASE(
    "a request past its deadline is refused immediately and never started") {
  Admission Queue({});
  TicketId Late =
      Queue.admit(request(1, WorkClass::QuickAnswer, 1s), Start).value();
  CHECK(Queue.nextDeadline() == Start + 1s);
  auto Refused = Queue.takeRefused(Start + 2s);
  REQUIRE(Refused.size() == 1);
  CHECK(Refused[0].Ticket == Late);
  CHECK(Refused[0].Reason == RoutingError::DeadlinePassed);
  CHECK_FALSE(Queue.next(Start + 2s));
  CHECK(Queue.takeRefused(Start + 2s).empty());
}

TEST_CASE("a full queue displaces the lowest lane first") {
  AdmissionSettings Settings;
  Settings.MaxQueued = 2;
  Admission Queue(Settings);
  TicketId Low = Queue.admit(request(1, WorkClass::LongDraft), Start).value();
  CHECK(Queue.admit(request(1, WorkClass::QuickAnswer), Start));
  AdmissionRequest High = request(2, WorkClass::QuickAnswer);
  High.Priority = 1;
  CHECK(Queue.admit(High, Start));
  auto Refused = Queue.takeRefused(Start);
  REQUIRE(Refused.size() == 1);
  CHECK(Refused[0].Ticket == Low);
  CHECK(Refused[0].Reason == RoutingError::Displaced);
  CHECK(Queue.admit(request(3, WorkClass::LongDraft), Start).error() ==
        RoutingError::QueueFull);
}

TEST_CASE("a full queue displaces requests of the team above its share") {
  AdmissionSettings Settings;
  Settings.MaxQueued = 10;
  Admission Queue(Settings);
  for (int I = 0; I < 10; ++I)
    CHECK(Queue.admit(request(1, WorkClass::QuickAnswer), Start));
  for (int I = 0; I < 5; ++I)
    CHECK(Queue.admit(request(2, WorkClass::QuickAnswer), Start));
  CHECK(Queue.admit(request(2, WorkClass::QuickAnswer), Start).error() ==
        RoutingError::QueueFull);
  CHECK(Queue.counts().Displaced == 5);
}

TEST_CASE("a request that cannot start yet keeps its position") {
  Admission Queue({});
  CHECK(Queue.admit(request(1, WorkClass::QuickAnswer), Start));
  CHECK_FALSE(
      Queue.next(Start, [](const AdmissionRequest &) { return false; }));
  CHECK(Queue.queued() == 1);
  auto Next = Queue.next(Start + 1s);
  REQUIRE(Next);
  CHECK(Next->Waited == 1s);
  CHECK(Queue.finish(Next->Ticket, Start + 2s));
  CHECK(Queue.finish(Next->Ticket, Start + 2s).error() ==
        RoutingError::UnknownTicket);
}

TEST_CASE("an abandoned request is removed from the queue") {
  Admission Queue({});
  TicketId First =
      Queue.admit(request(1, WorkClass::QuickAnswer), Start).value();
  TicketId Second =
      Queue.admit(request(1, WorkClass::QuickAnswer), Start).value();
  CHECK(Queue.abandon(Second, Start));
  CHECK(Queue.next(Start)->Ticket == First);
  CHECK(Queue.abandon(First, Start).error() == RoutingError::UnknownTicket);
  CHECK_FALSE(Queue.next(Start));
}

TEST_CASE("late first tokens lower the limit and timely ones raise it again") {
  ConcurrencyLimitSettings Settings;
  Settings.Initial = 100;
  ConcurrencyLimit Limit(Settings);
  TimePoint Now = Start;
  for (int I = 0; I < 100; ++I)
    Limit.firstToken(5s, Now += 100ms);
  CHECK(Limit.limit() < 50);
  CHECK(Limit.limit() >= Settings.Min);
  // The current period still contains late tokens.
  Limit.firstToken(10ms, Now += 1s);
  double Lowered = Limit.limit();
  for (int I = 0; I < 100; ++I)
    Limit.firstToken(10ms, Now += 100ms);
  CHECK_MESSAGE(Limit.limit() == Lowered,
                "the limit grows only after it refused a request");
  for (int I = 0; I < 600; ++I) {
    CHECK_FALSE(Limit.permits(1000));
    Limit.firstToken(10ms, Now += 100ms);
  }
  CHECK(Limit.limit() > 100);
}

TEST_CASE("no more requests run than the limit permits") {
  AdmissionSettings Settings;
  Settings.Concurrency.Initial = 2;
  Settings.Concurrency.Min = 2;
  Admission Queue(Settings);
  for (int I = 0; I < 3; ++I)
    CHECK(Queue.admit(request(1, WorkClass::QuickAnswer), Start));
  auto First = Queue.next(Start);
  CHECK(Queue.next(Start));
  CHECK_FALSE(Queue.next(Start));
  CHECK(Queue.finish(First->Ticket, Start));
  CHECK(Queue.next(Start));
}
