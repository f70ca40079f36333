package medlarroute.lab

import io.kotest.matchers.string.shouldContain
import org.junit.jupiter.api.Test

class LocalClusterTest {
    // Guards against default settings with which the cluster starts but can't run a job.
    @Test
    fun `the example job completes with the correct outputs`() {
        LocalCluster().use { cluster ->
            val text = cluster.runExample(tasks = 4)
            text shouldContain "job local.local."
            text shouldContain "of 4 tasks: complete, HTTP 200"
            repeat(4) {
                val payload = "ms=${50 + it * 30};n=$it"
                text shouldContain "$payload -> ${StandinTaskSpec.outputOf(payload)}"
            }
        }
    }
}
