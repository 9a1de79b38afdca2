#include "LibOutcome/OrderRecord.h"

#include "LibOutcome/RecordBody.h"

namespace bergamothook {

template <typename Body>
StreamRecord makeOrderRecord(RecordId Id, Incarnation Writer,
                             OrderRecordKind Kind, const Body &Content) {
  return {Id, Writer, static_cast<std::uint16_t>(Kind),
          detail::encodeBody(Content)};
}

template <typename Body>
Result<Body> readOrderRecord(const StreamRecord &From) {
  return detail::decodeBody<Body>(From.Body);
}

#define BERGAMOTHOOK_ORDER_BODY(Type)                                          \
  template StreamRecord makeOrderRecord(RecordId, Incarnation,                 \
                                        OrderRecordKind, const Type &);        \
  template Result<Type> readOrderRecord(const StreamRecord &)

BERGAMOTHOOK_ORDER_BODY(OrderClaim);
BERGAMOTHOOK_ORDER_BODY(OrderMoved);
BERGAMOTHOOK_ORDER_BODY(OrderResult);
BERGAMOTHOOK_ORDER_BODY(OrderNotRun);
BERGAMOTHOOK_ORDER_BODY(OrderUnknown);
BERGAMOTHOOK_ORDER_BODY(OrderIncarnationEnded);
BERGAMOTHOOK_ORDER_BODY(OrderSettled);

#undef BERGAMOTHOOK_ORDER_BODY

} // namespace bergamothook
