package medlarroute.dispatch.routing

import io.kotest.matchers.doubles.shouldBeGreaterThan
import io.kotest.matchers.doubles.shouldBeLessThan
import medlarroute.dispatch.DispatchSettings
import org.junit.jupiter.api.Test

/** Refusals of owners while others have capacity, with the oscillating demand of deployment B. */
class OwnerLoadTest {
    /** Means over [SEEDS]. */
    private class Shares(results: List<OwnerLoad.Result>) {
        private val jobs = results.sumOf { it.jobs }.toDouble()
        val inTime = results.sumOf { it.inTime } / jobs
        val refused = results.sumOf { it.refused } / jobs
        val avoidable = results.sumOf { it.avoidable } / jobs
        val forwards = results.sumOf { it.forwards } / jobs
        val byDomain = (0 until OwnerLoad.DOMAINS).map { domain -> results.map { it.inTimeByDomain[domain] }.average() }

        override fun toString() = "in time %.4f, refused %.4f, avoidable %.4f, forwards per job %.3f, by domain %s"
            .format(inTime, refused, avoidable, forwards, byDomain.joinToString { "%.3f".format(it) })
    }

    private fun shares(
        loads: List<OwnerLoad>,
        name: String,
        isGlobal: Boolean = false,
        policy: (OwnerLoad.Entry) -> OwnerLoad.Policy,
    ) = Shares(loads.map { it.run(isGlobal, policy) }).also { println("$name: $it") }

    private fun eachOwner(entry: OwnerLoad.Entry) = EachOwner(entry, DispatchSettings().overflowPercent)

    /** Guards against jobs that are refused while backend servers of other failure domains are free. */
    @Test
    fun `refused jobs find the capacity of other failure domains`() {
        val loads = SEEDS.map { OwnerLoad(loadFactor = 1.5, phaseMs = 1_000, seed = it) }
        val routed = shares(loads, "each owner", policy = ::eachOwner)
        val baselines = listOf(
            shares(loads, "own domain only", policy = ::OwnDomainOnly),
            shares(loads, "one other below 75%", policy = ::FixedReserve),
            shares(loads, "least loaded", policy = ::LeastLoaded),
            shares(loads, "random of two", policy = ::RandomOfTwo),
        )
        val bound = shares(loads, "one global owner", isGlobal = true, policy = ::OwnDomainOnly)
        baselines.forEach {
            routed.inTime shouldBeGreaterThan it.inTime
            routed.refused shouldBeLessThan it.refused * MAX_SHARE_OF_REFUSALS
        }
        routed.avoidable shouldBeLessThan MAX_AVOIDABLE
        routed.inTime shouldBeGreaterThan bound.inTime - MAX_DIFFERENCE
    }

    /** Guards against a failure domain whose own callers are refused since others use its capacity. */
    @Test
    fun `an overloaded failure domain uses the capacity of the others without a loss to their callers`() {
        val loads = SEEDS.take(2).map { OwnerLoad(1.0, phaseMs = 1_000, it, domainFactors = listOf(2.4, 1.0, 1.0)) }
        val withReserve = shares(loads, "overloaded, one other below 75%", policy = ::FixedReserve)
        val routed = shares(loads, "overloaded, each owner", policy = ::eachOwner)
        routed.byDomain[0] shouldBeGreaterThan withReserve.byDomain[0] + MIN_GAIN
        routed.byDomain.drop(1).average() shouldBeGreaterThan withReserve.byDomain.drop(1).average() - MAX_DIFFERENCE
    }

    private companion object {
        val SEEDS = 1..3

        /** 0.65 was measured in comparison to one other owner with a load below 75%. */
        const val MAX_SHARE_OF_REFUSALS = 0.75

        /** 0.002 was measured; 0.020 with the fixed reserve. */
        const val MAX_AVOIDABLE = 0.006

        /** 0.046 was measured. */
        const val MIN_GAIN = 0.02

        /** Differences of 0.003 were measured. */
        const val MAX_DIFFERENCE = 0.01
    }
}
