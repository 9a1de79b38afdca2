/// \file
/// Decides whether the key-value cache of a stream is worth moving to another
/// engine, or its prompt is computed there anew, or the stream stays.

#ifndef BERGAMOTHOOK_LIBROUTING_KVMOVE_H
#define BERGAMOTHOOK_LIBROUTING_KVMOVE_H

#include "LibBase/Time.h"

#include <cstdint>

namespace bergamothook {

struct KvMoveSettings {
  /// Of the link between two engines.
  double BytesPerSecond = 1.25e9;
  double BytesPerToken = 131072;
  /// Export, import and the messages between.
  Duration FixedCost = std::chrono::milliseconds(60);
  /// What leaving has to save before a stream is touched, so that streams do
  /// not go back and forth.
  Duration MinGain = std::chrono::milliseconds(250);
};

/// One stream that could leave its engine.
struct KvMoveInput {
  /// The tokens of prompt and answer that the engine has computed.
  std::uint32_t ComputedTokens = 0;
  /// The tokens still to be computed before the next answer token.
  std::uint32_t RemainingPrefillTokens = 0;
  /// The tokens of prompt and answer that the other engine holds already.
  std::uint32_t DestinationCoveredTokens = 0;
  /// How long the stream still waits where it is, and where it would go.
  Duration SourceWait{};
  Duration DestinationWait{};
  double SourcePrefillTokensPerSecond = 8000;
  double DestinationPrefillTokensPerSecond = 8000;
  /// Set when the stream cannot stay, because its engine leaves.
  bool MustLeave = false;
};

enum class KvMoveDecision { Stay, MoveCache, Recompute };

/// Tells which of the three gives the next token first.
KvMoveDecision decideKvMove(const KvMoveInput &Input,
                            const KvMoveSettings &Settings);

/// The threshold where moving never takes less time.
constexpr std::uint32_t NeverMoves = UINT32_MAX;

/// Gives the smallest number of computed tokens at which moving the cache of a
/// stream that has to leave takes less time than computing it anew, or
/// NeverMoves.
std::uint32_t kvMoveThreshold(double PrefillTokensPerSecond,
                              const KvMoveSettings &Settings);

} // namespace bergamothook

#endif
