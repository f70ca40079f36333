package medlarroute.dispatch

import io.kotest.matchers.shouldBe
import org.junit.jupiter.api.Test
import kotlin.time.AbstractLongTimeSource
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.DurationUnit
import kotlin.time.TestTimeSource

class SuspensionMonitorTest {
    private val steady = TestTimeSource()
    private val sinceBoot = TestTimeSource()
    private val monitor = SuspensionMonitor(MachineClocks(steady, sinceBoot))

    private fun run(ms: Long) {
        steady += ms.milliseconds
        sinceBoot += ms.milliseconds
    }

    /** Guards against a log that can't tell a suspended machine from one that ran all the time. */
    @Test
    fun `each suspension is reported once with its duration`() {
        run(5_000)
        monitor.newlySuspendedMs() shouldBe 0
        sinceBoot += 700.milliseconds
        monitor.newlySuspendedMs() shouldBe 700
        run(1_000)
        monitor.newlySuspendedMs() shouldBe 0
        sinceBoot += 1_500.milliseconds
        monitor.newlySuspendedMs() shouldBe 1_500
    }

    /** A thread that gets no processor time between the two readings must not look like a suspension. */
    @Test
    fun `a pause between the readings of the clocks is not reported`() {
        val pausing = PausingTimeSource(steady) { run(300) }
        val paused = SuspensionMonitor(MachineClocks(pausing, sinceBoot))
        pausing.isPausing = true
        paused.newlySuspendedMs() shouldBe 0
        pausing.isPausing = false
        paused.newlySuspendedMs() shouldBe 0
        sinceBoot += 900.milliseconds
        paused.newlySuspendedMs() shouldBe 900
    }

    /** The same when the monitor is created, as a process is that has just started and has used up its quota. */
    @Test
    fun `a pause while the monitor is created is not reported`() {
        val pausing = PausingTimeSource(steady) { run(90) }
        pausing.isPausing = true
        val paused = SuspensionMonitor(MachineClocks(pausing, sinceBoot))
        pausing.isPausing = false
        run(1_000)
        paused.newlySuspendedMs() shouldBe 0
    }

    /** Calls [pause] before each reading while [isPausing]. */
    private class PausingTimeSource(private val source: TestTimeSource, private val pause: () -> Unit) :
        AbstractLongTimeSource(DurationUnit.MILLISECONDS) {
        var isPausing = false
        private val origin = source.markNow()

        override fun read(): Long {
            if (isPausing) pause()
            return origin.elapsedNow().inWholeMilliseconds
        }
    }
}
