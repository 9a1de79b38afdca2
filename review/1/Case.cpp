/// \file
/// A target answers with a body without end, in a body that states a length.

#include "../standin/Standin.h"

#include <csignal>
#include <iostream>

using namespace review;

namespace {

constexpr unsigned KeptChannels = 8;
constexpr unsigned MaxLost = 3;
constexpr Milliseconds OrderTime{1500};
constexpr Milliseconds CallerDeadline{6000};
/// The length that the head of the answer states.
constexpr const char *StatedLength = "1000000000000";

void sendBodyWithoutEnd(const Message &Request, Channel &From) {
  const std::string Block(16 * 1024, 'x');
  bool IsOpen = From.send(answerHead(Request, 200, "text/plain") +
                          "Content-Length: " + StatedLength + "\r\n\r\n");
  while (IsOpen) {
    IsOpen = From.send(Block);
    std::this_thread::sleep_for(Milliseconds(5));
  }
}

/// Sends one order on a channel that has carried a request before.
void callOnce(Channel &Kept, Record &Log, const std::string &Id,
              std::atomic<unsigned> &Closed) {
  Log.line("caller sends " + Id);
  Message Answer;
  ReadEnd End = ReadEnd::Closed;
  if (Kept.send(
          callerRequest("POST", "/orders/1", Id, CallerDeadline, "", "order")))
    End = Kept.read(Answer, true, Clock::now() + CallerDeadline);
  bool WasClosed = End == ReadEnd::Closed || End == ReadEnd::Reset;
  if (WasClosed)
    ++Closed;
  Log.line("caller " + Id +
           (WasClosed ? ": the channel was closed without an answer"
                      : ": answered " + Answer.StartLine));
}

} // namespace

int main(int Count, char **Arguments) {
  if (Count < 3)
    return 2;
  const std::string Folder = Arguments[2];
  Record Log(Arguments[1]);
  Store Platform;
  Platform.putManifest();
  Target Depot(Platform, "i-depot1", "depot",
               [&](const Message &Request, Channel &From) {
                 Log.line("target i-depot1 runs " + Request.target());
                 if (Request.target() == "/orders/1")
                   std::this_thread::sleep_for(OrderTime);
                 From.send(wholeAnswer(Request, 200, "done"));
               });
  Target Records(Platform, "i-records1", "records",
                 [&](const Message &Request, Channel &From) {
                   Log.line("target i-records1 runs " + Request.target());
                   if (!hasTrouble()) {
                     From.send(wholeAnswer(Request, 200, "history"));
                     return;
                   }
                   sendBodyWithoutEnd(Request, From);
                   From.reset();
                 });
  Relay Host1(Platform.address(), 1, 1, Folder);
  Relay Host2(Platform.address(), 2, 1, Folder);
  Relay Host3(Platform.address(), 3, 1, Folder);
  for (Relay *Each : {&Host1, &Host2, &Host3})
    Each->start();
  if (!waitUntilReady({&Host1, &Host2, &Host3}, Milliseconds(20000)))
    return 2;
  std::this_thread::sleep_for(Milliseconds(5000));

  std::vector<std::unique_ptr<Channel>> Kept;
  for (unsigned I = 0; I < KeptChannels; ++I) {
    Kept.push_back(Channel::connect(Host1.front()));
    Message Answer;
    if (!Kept.back() ||
        !Kept.back()->send(callerRequest("POST", "/orders/0",
                                         "warm-" + std::to_string(I),
                                         CallerDeadline, "", "order")) ||
        Kept.back()->read(Answer, true, Clock::now() + CallerDeadline) !=
            ReadEnd::Complete ||
        Answer.target() != "200")
      return 2;
  }
  std::atomic<unsigned> Closed = 0;
  std::vector<std::thread> Callers;
  for (unsigned I = 0; I < KeptChannels; ++I)
    Callers.emplace_back([&, I] {
      callOnce(*Kept[I], Log, "order-" + std::to_string(I), Closed);
    });
  std::this_thread::sleep_for(OrderTime / 2);
  Log.line("caller sends read-0");
  auto Reader = Channel::connect(Host1.front());
  Message Answer;
  ReadEnd End = ReadEnd::Closed;
  if (Reader &&
      Reader->send(callerRequest("GET", "/reads/1", "read-0", CallerDeadline)))
    End = Reader->read(Answer, true, Clock::now() + CallerDeadline);
  Log.line("caller read-0: " + (End == ReadEnd::Complete
                                    ? "answered " + Answer.StartLine
                                    : std::string("not answered")));
  for (std::thread &Each : Callers)
    Each.join();
  auto Ended = Host1.ended();
  Log.line("relay 1 " + Ended.value_or("still runs"));
  bool IsBroken = Closed > MaxLost;
  Log.line(std::to_string(Closed) + " of " + std::to_string(KeptChannels) +
           " orders that the sound target ran were not answered");
  Log.line(IsBroken ? "rule broken" : "rule held");
  std::cout << (IsBroken ? "broken" : "held") << std::endl;
  for (Relay *Each : {&Host1, &Host2, &Host3})
    if (Each->pid() > 0) {
      Each->signal(SIGKILL);
      while (!Each->ended())
        std::this_thread::sleep_for(Milliseconds(10));
    }
  std::_Exit(IsBroken ? 1 : 0);
}
