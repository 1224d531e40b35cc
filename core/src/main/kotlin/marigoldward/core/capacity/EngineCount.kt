package marigoldward.core.capacity

/** A number of engines in one data centre: [regular] ones, and [reclaimable] ones that the provider may take away. */
public data class EngineCount(val regular: Int, val reclaimable: Int) {
    /** The number of engines of both kinds. */
    val total: Int get() = regular + reclaimable

    internal companion object {
        val NONE = EngineCount(0, 0)
    }
}
