package medlarroute.dispatch

import io.kotest.matchers.doubles.shouldBeGreaterThan
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

    /** Returns the mean over all loads of the fraction in time of the worst queue. */
    private fun worstQueue(policy: Policy): Double {
        val figures = ScarceLoad.ALL.map { load ->
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
        println(
            "%-16s mean %.4f, worst queue %.4f, widest tenth %.4f, of the worst queue %.4f".format(
                policy.name,
                mean { queues -> queues.map { it.inTime }.average() },
                worst,
                mean { queues -> queues.map { it.widestInTime }.average() },
                mean { queues -> queues.minOf { it.widestInTime } },
            ),
        )
        return worst
    }

    /** Guards against an order that serves the worst queue worse than none would. */
    @Test
    fun `in bursts the worst queue gets more than first come first served`() {
        val worst = baselines.associate { it.name to worstQueue(it) }
        worstQueue(Policy("without shares")) shouldBeGreaterThan worst.getValue("first come")
    }

    private companion object {
        val SEEDS = 1..2
    }
}
