package medlarroute.dispatch

import io.kotest.matchers.shouldBe
import org.junit.jupiter.api.Test

class BackendClockTest {
    private val clock = BackendClock(maxDrift = 0.02)

    @Test
    fun `a clock without a report is unknown, also after another process has taken its place`() {
        clock.estimateMs(nowMs = 100) shouldBe null
        clock.observe(clockMs = 5_000, nowMs = 100)
        clock.reset()
        clock.estimateMs(nowMs = 100) shouldBe null
    }

    /** Guards against leases that are too long, since the clock of the backend server runs slow. */
    @Test
    fun `the estimate allows for the drift since the last report`() {
        clock.observe(clockMs = 5_000, nowMs = 100)
        clock.estimateMs(nowMs = 150) shouldBe 5_049
        clock.estimateMs(nowMs = 5_100) shouldBe 9_900
    }

    /** Guards against commands that expire on arrival after a report that was read late. */
    @Test
    fun `a report that was read late does not set the estimate back`() {
        clock.observe(clockMs = 5_000, nowMs = 100)
        clock.observe(clockMs = 5_020, nowMs = 1_100)
        clock.estimateMs(nowMs = 1_100) shouldBe 5_980
        clock.observe(clockMs = 6_000, nowMs = 1_100)
        clock.estimateMs(nowMs = 1_100) shouldBe 6_000
    }
}
