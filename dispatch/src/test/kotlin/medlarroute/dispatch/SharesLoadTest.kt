package medlarroute.dispatch

import io.kotest.matchers.doubles.shouldBeGreaterThan
import medlarroute.allocation.ShareSettings
import org.junit.jupiter.api.Test

/**
 * Bursts at scarce capacity ([ScarceLoad]): what each queue gets, also compared with other serving orders. Prints the
 * figures of each order: fractions of the jobs of a queue and of its widest tenth that end in time.
 */
class SharesLoadTest {
    private class Policy(
        val name: String,
        val settings: DispatchSettings = DispatchSettings(),
        val setUp: SimulatedBackends.() -> Unit = {},
    )

    private val baselines = listOf(
        Policy("first come") { dispatcher.servingOrder = compareBy { it.arrivedAtMs } },
        Policy("latest start") { dispatcher.servingOrder = compareBy { it.latestStartMs } },
        Policy("strict priority") {
            dispatcher.servingOrder = compareBy<JobRow> { it.queue.priority }.thenBy { it.latestStartMs }
        },
        Policy("weighted fair") { dispatcher.servingOrder = WeightedFairOrder() },
    )

    private val withShares = Policy("shares", DispatchSettings(sharing = ShareSettings(listOf(4.0, 2.0, 1.0))))

    /** Mean fractions in time of the [worst] queue, and of those [beside] a burst. */
    private class Summary(val worst: Double, val beside: Double)

    private fun run(policy: Policy, loads: List<ScarceLoad> = ScarceLoad.ALL): Summary {
        val figures = loads.map { load ->
            load.run(SEEDS, policy.settings, policy.setUp).also { queues ->
                val text = queues.entries.joinToString { (queue, it) ->
                    "%s %.3f (late %.3f, refused %.3f, widest %.3f)"
                        .format(queue, it.inTime, it.late, it.refused, it.widestInTime)
                }
                println("%-16s %-27s %s".format(policy.name, load.name, text))
            }
        }
        fun mean(of: (Collection<QueueFigures>) -> Double) = figures.map { of(it.values) }.average()
        val worst = mean { queues -> queues.minOf { it.inTime } }
        val others = loads.zip(figures).filter { (load, _) -> load.burstQueue != null }
            .map { (load, queues) -> queues.filterKeys { it != load.burstQueue }.values.map { it.inTime }.average() }
        println(
            "%-16s mean %.4f, worst queue %.4f, beside bursts %.4f, widest tenth %.4f, of the worst queue %.4f".format(
                policy.name,
                mean { queues -> queues.map { it.inTime }.average() },
                worst,
                others.average(),
                mean { queues -> queues.map { it.widestInTime }.average() },
                mean { queues -> queues.minOf { it.widestInTime } },
            ),
        )
        return Summary(worst, others.average())
    }

    /** Guards against an order that serves the worst queue worse than none would. */
    @Test
    fun `in bursts the worst queue gets more with shares than without`() {
        val worst = baselines.associate { it.name to run(it).worst }
        val withoutShares = run(Policy("without shares")).worst
        withoutShares shouldBeGreaterThan worst.getValue("first come")
        run(withShares).worst shouldBeGreaterThan withoutShares
    }

    /** Guards against a burst of one queue that takes the capacity of the others. */
    @Test
    fun `in strong bursts the other queues get more with shares than without`() {
        val latestStart = baselines.first { it.name == "latest start" }
        val orders = listOf(latestStart, Policy("without shares")).map { run(it, ScarceLoad.STRONG_BURSTS).beside }
        run(withShares, ScarceLoad.STRONG_BURSTS).beside shouldBeGreaterThan orders.max() + MIN_GAIN
    }

    private companion object {
        val SEEDS = 1..2

        /** Half of the gain that was measured with four seeds. */
        const val MIN_GAIN = 0.015
    }
}
