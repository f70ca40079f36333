package medlarroute.allocation

/**
 * Weights of the guaranteed shares.
 *
 * @property weights weight of the queues of each priority, from 0 on; the last one also counts for lower priorities.
 */
public data class ShareSettings(val weights: List<Double>) {
    init {
        require(weights.isNotEmpty() && weights.all { it > 0 && it.isFinite() }) { "weights $weights are not positive" }
    }

    internal fun weight(priority: Int): Double = weights[priority.coerceIn(weights.indices)]
}
