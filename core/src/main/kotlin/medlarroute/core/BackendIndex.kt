package medlarroute.core

/**
 * Backend servers ordered by a score, the lowest first. A tournament tree over an array: an update takes time
 * logarithmic in the number of backend servers, and the best one is at the root.
 */
internal class BackendIndex {
    private var rows = arrayOfNulls<BackendRow>(1)
    private var leaves = 1
    private var scores = DoubleArray(2) { UNUSABLE }
    private var winners = IntArray(2) { 0 }
    private val freePositions = ArrayList<Int>()
    private var usedPositions = 0

    val bestScore: Double get() = scores[1]

    fun best(): BackendRow? = if (scores[1] < UNUSABLE) rows[winners[1]] else null

    /** Adds [row] without a usable score and returns its position. */
    fun add(row: BackendRow): Int {
        val position = freePositions.removeLastOrNull() ?: usedPositions++
        if (position >= leaves) grow()
        rows[position] = row
        return position
    }

    fun remove(position: Int) {
        update(position, UNUSABLE)
        rows[position] = null
        freePositions += position
    }

    fun score(position: Int): Double = scores[leaves + position]

    fun update(position: Int, score: Double) {
        var node = leaves + position
        scores[node] = score
        winners[node] = position
        while (node > 1) {
            node = node shr 1
            updateWinner(node)
        }
    }

    private fun updateWinner(node: Int) {
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
        for (position in 0 until leaves) winners[leaves + position] = position
        old.copyInto(scores, leaves, oldLeaves, 2 * oldLeaves)
        for (node in leaves - 1 downTo 1) updateWinner(node)
    }

    companion object {
        /** Score of a backend server that must not get a task. */
        const val UNUSABLE = Double.MAX_VALUE
    }
}
