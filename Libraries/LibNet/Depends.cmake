set(DEPENDS LibBase LibTask Boost::headers)
