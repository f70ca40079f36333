package medlarroute.dispatch

import kotlinx.serialization.Serializable

/** Resources that a task needs or a backend server has. [cpuMillis] is in thousandths of a core. */
@Serializable
public data class Resources(
    public val cpuMillis: Int = 0,
    public val memoryMb: Int = 0,
    public val accelerators: Int = 0,
) {
    public fun fitsInto(other: Resources): Boolean =
        cpuMillis <= other.cpuMillis && memoryMb <= other.memoryMb && accelerators <= other.accelerators

    /** How many tasks with [demand] fit into these resources. */
    public fun fitCount(demand: Resources): Int = minOf(
        times(cpuMillis, demand.cpuMillis),
        times(memoryMb, demand.memoryMb),
        times(accelerators, demand.accelerators),
    )

    private fun times(has: Int, needed: Int) = if (needed <= 0) Int.MAX_VALUE else (has / needed).coerceAtLeast(0)

    /** The larger of each kind of resource. */
    public fun coerceAtLeast(other: Resources): Resources = Resources(
        maxOf(cpuMillis, other.cpuMillis),
        maxOf(memoryMb, other.memoryMb),
        maxOf(accelerators, other.accelerators),
    )

    public operator fun plus(other: Resources): Resources =
        Resources(cpuMillis + other.cpuMillis, memoryMb + other.memoryMb, accelerators + other.accelerators)

    public operator fun minus(other: Resources): Resources =
        Resources(cpuMillis - other.cpuMillis, memoryMb - other.memoryMb, accelerators - other.accelerators)
}
