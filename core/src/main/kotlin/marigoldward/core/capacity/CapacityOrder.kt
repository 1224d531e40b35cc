package marigoldward.core.capacity

import marigoldward.core.model.DataCentre

/** An order that a data centre have [count] engines of one kind. */
public data class CapacityOrder(val dataCentre: DataCentre, val isReclaimable: Boolean, val count: Int)
