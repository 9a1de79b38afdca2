set(DEPENDS LibRelay LibNet LibObserve)
