package medlarroute.lab

import io.kotest.matchers.string.shouldContain
import org.junit.jupiter.api.Test

class LocalClusterTest {
    // Guards against an embedded default that starts but can't run a job.
    @Test
    fun `the example job is answered completely`() {
        LocalCluster().use { tryRun ->
            val text = tryRun.runExample(tasks = 4)
            text shouldContain "job local.local."
            text shouldContain "of 4 tasks: complete, HTTP 200"
            repeat(4) {
                val payload = "ms=${50 + it * 30};n=$it"
                text shouldContain "$payload -> ${StandinWork.outputOf(payload)}"
            }
        }
    }
}
