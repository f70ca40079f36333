package medlarroute.server

import com.linecorp.armeria.client.WebClient
import com.linecorp.armeria.server.Server
import io.kotest.matchers.shouldBe
import kotlinx.serialization.json.Json
import medlarroute.core.BurnMeter
import medlarroute.core.BurnSnapshot
import medlarroute.core.CallerId
import medlarroute.core.Incarnation
import medlarroute.core.InstanceId
import medlarroute.core.JobOutcome
import medlarroute.core.JobResult
import medlarroute.core.KindId
import medlarroute.core.ObjectiveSettings
import org.junit.jupiter.api.Test
import java.net.InetSocketAddress
import kotlin.time.Duration.Companion.milliseconds

class BurnReportServiceTest {
    /** Guards against a report that the reader of the counts can't parse. */
    @Test
    fun `counts are served as JSON that can be parsed back`() {
        val meter = BurnMeter(listOf(ObjectiveSettings()), InstanceId("e1"), Incarnation(36))
        meter.answered(JobOutcome(CallerId("c"), KindId("k"), 1.milliseconds, JobResult.FAILED))
        val server = Server.builder()
            .http(InetSocketAddress("127.0.0.1", 0))
            .service(BurnReportService.PATH, BurnReportService(meter))
            .build()
        server.start().join()
        try {
            val client = WebClient.of("http://127.0.0.1:${server.activeLocalPort()}").blocking()
            val snapshot = Json.decodeFromString<BurnSnapshot>(client.get(BurnReportService.PATH).contentUtf8())
            snapshot.incarnation shouldBe "10"
            snapshot.objectives.single().badSinceStart shouldBe 1
        } finally {
            server.stop().join()
        }
    }
}
