/// \file
/// The classes of status codes of RFC 9110, section 15.

#ifndef BERGAMOTHOOK_LIBBASE_HTTPSTATUS_H
#define BERGAMOTHOOK_LIBBASE_HTTPSTATUS_H

namespace bergamothook {

/// \returns whether a final response follows one with \p Status. What follows a
/// 101 is of another protocol, which a request without Upgrade does not ask for
/// (section 7.8).
constexpr bool isInterimStatus(unsigned Status) {
  constexpr unsigned SwitchingProtocols = 101;
  return Status / 100 == 1 && Status != SwitchingProtocols;
}

/// \returns whether \p Status is one of a final response. Codes of no class are
/// invalid, though they have three digits.
constexpr bool isFinalStatus(unsigned Status) {
  return Status >= 200 && Status < 600;
}

} // namespace bergamothook

#endif
