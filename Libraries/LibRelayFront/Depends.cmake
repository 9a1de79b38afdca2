set(DEPENDS LibRelay LibNet LibObserve LibOverload)
