/// \file
/// A target stops in the middle of an event and ends its answer there.

#include "../standin/Standin.h"

#include <csignal>
#include <iostream>

using namespace review;

namespace {

constexpr unsigned Events = 12;
constexpr unsigned EventsBeforeStop = 4;
constexpr unsigned Streams = 10;
constexpr Milliseconds EventPause{40};
constexpr Milliseconds CallerDeadline{6000};

std::string event(unsigned Number, const std::string &Text) {
  return "id: " + std::to_string(Number) + "\ndata: " + Text + "\n\n";
}

/// \returns the number in a field of the form "NAME: NUMBER", or 0.
unsigned numberOf(const Message &Request, std::string_view Name) {
  return static_cast<unsigned>(std::stoul(Request.find(Name).value_or("0")));
}

/// Writes the events after the one that the request names. A target that
/// \p Stops ends inside an event.
void sendStream(const Message &Request, Channel &From, bool Stops) {
  if (!From.send(answerHead(Request, 200, "text/event-stream") +
                 "Transfer-Encoding: chunked\r\n\r\n"))
    return;
  for (unsigned I = numberOf(Request, "Last-Event-Id") + 1; I <= Events; ++I) {
    std::string Next = event(I, "piece " + std::to_string(I));
    if (Stops && I > EventsBeforeStop) {
      From.send(chunk(Next.substr(0, Next.size() / 2)) + chunk(""));
      return;
    }
    if (!From.send(chunk(Next)))
      return;
    std::this_thread::sleep_for(EventPause);
  }
  From.send(chunk(""));
}

} // namespace

int main(int Count, char **Arguments) {
  if (Count < 3)
    return 2;
  const std::string Folder = Arguments[2];
  Record Log(Arguments[1]);
  Store Platform;
  Platform.putManifest();
  auto Serve = [&Log](const std::string &Id, bool Stops) {
    return [&Log, Id, Stops](const Message &Request, Channel &From) {
      Log.line("target " + Id + " runs " + Request.target() + " after event " +
               std::to_string(numberOf(Request, "Last-Event-Id")));
      sendStream(Request, From, Stops);
    };
  };
  Target Faulty(Platform, "i-model1", "models",
                Serve("i-model1", hasTrouble()));
  Target Sound(Platform, "i-model2", "models", Serve("i-model2", false));
  Relay Host1(Platform.address(), 1, 1, Folder);
  Relay Host2(Platform.address(), 2, 1, Folder);
  for (Relay *Each : {&Host1, &Host2})
    Each->start();
  if (!waitUntilReady({&Host1, &Host2}, Milliseconds(20000)))
    return 2;
  std::this_thread::sleep_for(Milliseconds(6000));

  std::string Whole;
  for (unsigned I = 1; I <= Events; ++I)
    Whole += event(I, "piece " + std::to_string(I));
  unsigned Short = 0;
  unsigned Complete = 0;
  for (unsigned I = 0; I < Streams; ++I) {
    std::string Id = "stream-" + std::to_string(I);
    Log.line("caller sends " + Id);
    auto Caller = Channel::connect(Host1.front());
    Message Answer;
    ReadEnd End = ReadEnd::Closed;
    if (Caller && Caller->send(callerRequest(
                      "POST", "/chat/1", Id, CallerDeadline,
                      promptFields("e4402b" + std::to_string(I)), "prompt")))
      End = Caller->read(Answer, true, Clock::now() + CallerDeadline);
    bool IsSuccess =
        End == ReadEnd::Complete && Answer.target().starts_with("2");
    bool IsShort = IsSuccess && Answer.Body != Whole;
    Short += IsShort ? 1 : 0;
    Complete += IsSuccess ? 1 : 0;
    Log.line("caller " + Id + ": " + Answer.StartLine +
             (End == ReadEnd::Complete ? ", ended as complete with "
                                       : ", broken off with ") +
             std::to_string(Answer.Body.size()) + " of " +
             std::to_string(Whole.size()) + " bytes");
  }
  bool IsBroken = Short > 0;
  bool HasRun = IsBroken || Complete > 0;
  Log.line(std::to_string(Short) + " of " + std::to_string(Streams) +
           " streams ended as complete before their last piece");
  Log.line(IsBroken ? "rule broken" : "rule held");
  std::cout << (IsBroken ? "broken" : "held") << std::endl;
  for (Relay *Each : {&Host1, &Host2}) {
    Each->signal(SIGKILL);
    while (!Each->ended())
      std::this_thread::sleep_for(Milliseconds(10));
  }
  if (!HasRun)
    std::_Exit(2);
  std::_Exit(IsBroken ? 1 : 0);
}
