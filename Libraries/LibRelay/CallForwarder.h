/// \file
/// Has one call served by another host. Lives on the stack of the call's task.
///
/// This serves callers of a host that reaches no target, while other hosts do.
/// The other host treats the call as one of its own callers: it reserves the
/// tokens and chooses the target. It never forwards the call again.

#ifndef BERGAMOTHOOK_LIBRELAY_CALLFORWARDER_H
#define BERGAMOTHOOK_LIBRELAY_CALLFORWARDER_H

#include "LibRelay/AttemptEnd.h"
#include "LibRelay/RelayDispatcher.h"

namespace bergamothook::detail {

class CallForwarder {
public:
  CallForwarder(RelayDispatcher &Dispatcher, const RelayCall &Call,
                const CallerHooks &Caller, MemoryHold &Memory)
      : Dispatcher(Dispatcher), Hooks(Dispatcher.hooks()), Call(Call),
        Caller(Caller), Memory(Memory), Deadline(Call.deadline()) {}

  /// Asks one host after the other until one takes the call. \returns
  /// AttemptEnd::OutOfReach if none does.
  AttemptEnd run();

  /// The host that took the call; empty if none did.
  const std::string &host() const { return this->Host; }
  /// Whether the call may have been executed.
  bool mayHaveRun() const { return this->MayHaveRun; }
  bool hasStreamStarted() const { return this->HasStreamStarted; }
  /// Whether a response other than a stream was written.
  bool isAnswered() const { return this->IsAnswered; }
  unsigned status() const { return this->Status; }

private:
  /// \returns how the call ended; nothing if the host did not take it.
  std::optional<AttemptEnd> askHost(HostId Peer);
  AttemptEnd relay(PeerExchange &Exchange, HttpResponseHead Head);
  AttemptEnd relayBuffered(PeerExchange &Exchange, HttpResponseHead Head);
  AttemptEnd relayStream(PeerExchange &Exchange, HttpResponseHead Head);
  AttemptEnd endOf(std::error_code Failure) const;
  TimePoint now() const { return this->Hooks.Tasks.Now(); }

  RelayDispatcher &Dispatcher;
  const RelayHooks &Hooks;
  const RelayCall &Call;
  const CallerHooks &Caller;
  MemoryHold &Memory;
  TimePoint Deadline;
  std::string Host;
  bool MayHaveRun = false;
  bool HasStreamStarted = false;
  bool IsAnswered = false;
  unsigned Status = 0;
};

} // namespace bergamothook::detail

#endif
