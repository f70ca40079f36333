package medlarroute.dispatch

import org.junit.jupiter.api.Test

/** Cases of [CrashingTaskPropertyTest] that have exceeded the limit of starts. */
class CrashingTaskOwnerLossTest {
    /** Guards against six starts of a task when several owners are lost before they have noticed its crashes. */
    @Test
    fun `the limit of starts holds when several owners are lost`() = CrashScenario().check(seed = 964_953L)
}
