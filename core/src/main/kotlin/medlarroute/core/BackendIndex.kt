package medlarroute.core

/**
 * Backend servers ordered by a score, the lowest first. A tournament tree over an array: a change costs the logarithm
 * of the number of backend servers, the best one is at the root.
 */
internal class BackendIndex {
    private var rows = arrayOfNulls<BackendRow>(1)
    private var leaves = 1
    private var scores = DoubleArray(2) { UNUSABLE }
    private var winners = IntArray(2) { 0 }
    private val free = ArrayList<Int>()
    private var used = 0

    val bestScore: Double get() = scores[1]

    fun best(): BackendRow? = if (scores[1] < UNUSABLE) rows[winners[1]] else null

    /** Gives [row] a place and returns it. */
    fun add(row: BackendRow): Int {
        val slot = free.removeLastOrNull() ?: used++
        if (slot >= leaves) grow()
        rows[slot] = row
        return slot
    }

    fun remove(slot: Int) {
        update(slot, UNUSABLE)
        rows[slot] = null
        free += slot
    }

    fun score(slot: Int): Double = scores[leaves + slot]

    fun update(slot: Int, score: Double) {
        var node = leaves + slot
        scores[node] = score
        winners[node] = slot
        while (node > 1) {
            node = node shr 1
            play(node)
        }
    }

    private fun play(node: Int) {
        val left = node shl 1
        val winner = if (scores[left] <= scores[left + 1]) left else left + 1
        scores[node] = scores[winner]
        winners[node] = winners[winner]
    }

    private fun grow() {
        val old = scores
        val oldLeaves = leaves
        leaves *= 2
        rows = rows.copyOf(leaves)
        scores = DoubleArray(2 * leaves) { UNUSABLE }
        winners = IntArray(2 * leaves)
        for (slot in 0 until leaves) winners[leaves + slot] = slot
        old.copyInto(scores, leaves, oldLeaves, 2 * oldLeaves)
        for (node in leaves - 1 downTo 1) play(node)
    }

    companion object {
        /** Score of a backend server that gets no task. */
        const val UNUSABLE = Double.MAX_VALUE
    }
}
