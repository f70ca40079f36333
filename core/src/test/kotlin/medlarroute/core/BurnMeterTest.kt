package medlarroute.core

import io.kotest.matchers.doubles.plusOrMinus
import io.kotest.matchers.shouldBe
import org.junit.jupiter.api.Test
import kotlin.time.Duration
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.TestTimeSource

class BurnMeterTest {
    private val clock = TestTimeSource()
    private val objectives = listOf(
        ObjectiveSettings(caller = "router", kind = "check", share = 0.99, latencyMs = 100),
        ObjectiveSettings(share = 0.9, latencyMs = 1_000),
    )

    private fun meter(instance: String = "e1") = BurnMeter(objectives, InstanceId(instance), Incarnation(1), clock)

    private fun BurnMeter.count(
        times: Int,
        result: JobResult = JobResult.COMPLETE,
        latency: Duration = 50.milliseconds,
        caller: String = "router",
    ) = repeat(times) { answered(JobOutcome(CallerId(caller), KindId("check"), latency, result)) }

    private fun BurnMeter.windows(objective: Int = 0) =
        snapshot().objectives[objective].windows.associate { it.window to (it.total to it.bad) }

    @Test
    fun `late, failed and refused jobs are bad and caller-caused results do not count`() {
        val meter = meter()
        meter.count(6)
        meter.count(1, latency = 101.milliseconds)
        meter.count(1, JobResult.FAILED)
        meter.count(1, JobResult.REFUSED)
        meter.count(5, JobResult.CALLER_CAUSED)
        meter.windows()[BurnWindow.FIVE_MINUTES] shouldBe (9L to 3L)
    }

    @Test
    fun `the first objective that matches counts a job`() {
        val meter = meter()
        meter.count(2)
        meter.count(3, caller = "other")
        meter.windows(0)[BurnWindow.ONE_HOUR] shouldBe (2L to 0L)
        meter.windows(1)[BurnWindow.ONE_HOUR] shouldBe (3L to 0L)
    }

    @Test
    fun `jobs leave each window when they are older than it, also after a long pause`() {
        val meter = meter()
        meter.count(1, JobResult.FAILED)
        clock += 10.minutes
        meter.count(1)
        meter.windows()[BurnWindow.FIVE_MINUTES] shouldBe (1L to 0L)
        meter.windows()[BurnWindow.THIRTY_MINUTES] shouldBe (2L to 1L)
        clock += 100.hours
        meter.windows().values.toSet() shouldBe setOf(0L to 0L)
        meter.snapshot().objectives[0].totalSinceStart shouldBe 2
    }

    @Test
    fun `a fast burn needs both of its windows above the limit`() {
        val meter = meter()
        meter.count(1_000)
        clock += 30.minutes
        meter.count(20, JobResult.FAILED)
        BurnReport.merge(listOf(meter.snapshot()), emptyList()).objectives[0].state shouldBe BurnState.OK
        meter.count(300, JobResult.FAILED)
        val burn = BurnReport.merge(listOf(meter.snapshot()), emptyList()).objectives[0]
        burn.state shouldBe BurnState.FAST_BURN
        burn.windows.first { it.window == BurnWindow.FIVE_MINUTES }.burnRate shouldBe (100.0 plusOrMinus 1e-9)
        burn.series[0] shouldBe (100.0 plusOrMinus 1e-9)
    }

    @Test
    fun `instances are summed and one that was queried twice counts once`() {
        val first = meter("e1").also { it.count(10) }
        val second = meter("e2").also { it.count(10, JobResult.FAILED) }
        val snapshots = listOf(first.snapshot(), second.snapshot(), first.snapshot())
        val report = BurnReport.merge(snapshots, listOf(UnreachableInstance("http://e3", "refused")))
        report.instances.map { it.instance } shouldBe listOf("e1", "e2")
        report.objectives[0].windows.first().let { it.total to it.bad } shouldBe (20L to 10L)
        report.objectives[1].state shouldBe BurnState.NO_DATA
        report.unreachable.single().url shouldBe "http://e3"
    }
}
