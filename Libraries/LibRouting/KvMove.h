/// \file
/// Decides whether a stream stays on its engine, moves to another one with its
/// key-value cache, or moves and has its prompt recomputed there.

#ifndef BERGAMOTHOOK_LIBROUTING_KVMOVE_H
#define BERGAMOTHOOK_LIBROUTING_KVMOVE_H

#include "LibBase/Time.h"

#include <cstdint>

namespace bergamothook {

struct KvMoveSettings {
  /// The bandwidth of the link between two engines.
  double BytesPerSecond = 1.25e9;
  double BytesPerToken = 131072;
  /// The time for export, import and the messages between them.
  Duration FixedCost = std::chrono::milliseconds(60);
  /// The minimum time that a move has to save, so that streams do not move back
  /// and forth.
  Duration MinGain = std::chrono::milliseconds(250);
};

/// A stream that could move to another engine.
struct KvMoveInput {
  /// The prompt and answer tokens that the current engine has computed.
  std::uint32_t ComputedTokens = 0;
  /// The tokens left to compute before the next answer token.
  std::uint32_t RemainingPrefillTokens = 0;
  /// The prompt and answer tokens that the destination has already cached.
  std::uint32_t DestinationCoveredTokens = 0;
  /// How long the stream still waits on its current engine and at the
  /// destination.
  Duration SourceWait{};
  Duration DestinationWait{};
  double SourcePrefillTokensPerSecond = 8000;
  double DestinationPrefillTokensPerSecond = 8000;
  /// Set when the stream cannot stay, because its engine is leaving.
  bool MustLeave = false;
};

enum class KvMoveDecision { Stay, MoveCache, Recompute };

/// Returns the option that produces the next token first.
KvMoveDecision decideKvMove(const KvMoveInput &Input,
                            const KvMoveSettings &Settings);

/// The threshold returned when moving the cache is never faster.
constexpr std::uint32_t NeverMoves = UINT32_MAX;

/// Returns the smallest number of computed tokens at which moving the cache of
/// a stream that has to leave is faster than recomputing it, or NeverMoves.
std::uint32_t kvMoveThreshold(double PrefillTokensPerSecond,
                              const KvMoveSettings &Settings);

} // namespace bergamothook

#endif
