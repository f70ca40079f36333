package medlarroute.server

import com.linecorp.armeria.client.WebClient
import com.linecorp.armeria.common.AggregatedHttpResponse
import com.linecorp.armeria.common.HttpMethod
import com.linecorp.armeria.common.RequestHeaders
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import medlarroute.core.CallerSettings
import medlarroute.core.DrainSettings
import medlarroute.core.InstanceSettings
import medlarroute.core.OperatorSettings
import medlarroute.core.PeerSettings
import medlarroute.core.Settings
import org.junit.jupiter.api.Test
import java.net.ServerSocket
import java.util.concurrent.TimeUnit

/**
 * Two whole entry instances, a fake platform and a fake backend server, over HTTP and gRPC. Instances without a
 * successor are left running, since their drain looks for one for 10 s.
 */
class PeerExtensionTest {
    private val body = """{"kind":"check","deadlineMs":5000,"tasks":[{"payload":"a"}]}"""

    private fun freePort() = ServerSocket(0).use { it.localPort }

    private fun instance(name: String, platform: FakePlatform, peerPort: Int) =
        connectedInstance(
            Settings(
                instance = InstanceSettings(name, "local", instancesInFailureDomain = 2),
                callers = CallerSettings(port = 0),
                operators = OperatorSettings(port = 0),
                peers = PeerSettings(port = peerPort, heartbeatIntervalMs = 50, deadAfterMs = 2_000),
                platform = platform.settings,
                drain = DrainSettings(settleMs = 0),
            ),
        )

    private fun EntryInstance.call(
        method: HttpMethod,
        path: String,
        vararg headers: Pair<String, String>,
        content: String = "",
    ): AggregatedHttpResponse {
        val request = RequestHeaders.builder(method, path).add("X-Caller", "router")
        headers.forEach { (name, value) -> request.add(name, value) }
        val client = WebClient.of("http://127.0.0.1:$callerPort")
        return client.execute(request.build(), content).aggregate().get(20, TimeUnit.SECONDS)
    }

    private fun EntryInstance.operators() = WebClient.of("http://127.0.0.1:$operatorPort").blocking()

    private fun EntryInstance.ticket() =
        Json.parseToJsonElement(call(HttpMethod.POST, "/v1/tickets").contentUtf8())
            .jsonObject.getValue("ticket").jsonPrimitive.content

    private fun EntryInstance.isReady() = operators().get("/readyz").status().code() == 200

    private fun EntryInstance.knowsPeer() =
        Regex("\"reachable\":true").findAll(operators().get("/v1/rules/status").contentUtf8()).count() == 2

    private fun eventually(what: String, condition: () -> Boolean) {
        val end = System.nanoTime() + TimeUnit.SECONDS.toNanos(20)
        while (!condition()) {
            check(System.nanoTime() < end) { "not within 20 s: $what" }
            Thread.sleep(20)
        }
    }

    private fun pair(test: (EntryInstance, EntryInstance, FakeBackend) -> Unit) {
        FakePlatform().use { platform ->
            FakeBackend().use { backend ->
                val ports = List(2) { freePort() }
                platform.listed = listOf(
                    ListedInstance("e1", "entry", "local", "127.0.0.1", ports[0]),
                    ListedInstance("e2", "entry", "local", "127.0.0.1", ports[1]),
                    ListedInstance("b1", "backend", "local", "127.0.0.1", backend.port, slots = 8),
                )
                val first = instance("e1", platform, ports[0]).also { it.start() }
                val second = instance("e2", platform, ports[1]).also { it.start() }
                first.operators().get("/readyz").status().code() shouldBe 503
                val rules = """{"text":"class kind check short # Jane\n","expectedVersion":0}"""
                first.operators().put("/v1/rules", rules).contentUtf8() shouldContain "accepted"
                eventually("both instances are ready") { first.isReady() && second.isReady() }
                eventually("each knows the other") { first.knowsPeer() && second.knowsPeer() }
                test(first, second, backend)
            }
        }
    }

    /** Guards against a second start of a submission that reaches another instance than its home. */
    @Test
    fun `a job reaches its home from either instance, runs once, and outlives the home's drain`() =
        pair { first, second, backend ->
            val ticket = first.ticket()
            val header = "Submission-Id" to "$ticket/1"
            val answer = second.call(HttpMethod.POST, "/v1/jobs", header, content = body)
            answer.contentUtf8() shouldContain "out of a"
            first.call(HttpMethod.POST, "/v1/jobs", header, content = body).contentUtf8() shouldBe answer.contentUtf8()
            first.drain() shouldBe DrainReport(unfinishedJobs = 0, handedOver = true)
            second.call(HttpMethod.POST, "/v1/jobs", header, content = body).contentUtf8() shouldBe answer.contentUtf8()
            second.call(HttpMethod.POST, "/v1/jobs", "Submission-Id" to "$ticket/2", content = body)
                .contentUtf8() shouldContain "notRun"
            backend.starts.size shouldBe 1
        }

    /** Guards against a second start of a job that is sent to two instances under one idempotency key. */
    @Test
    fun `a job with an idempotency key runs once, whichever instance it is sent to`() =
        pair { first, second, backend ->
            val header = "Idempotency-Key" to "order 17"
            val answer = first.call(HttpMethod.POST, "/v1/jobs", header, content = body)
            answer.contentUtf8() shouldContain "out of a"
            second.call(HttpMethod.POST, "/v1/jobs", header, content = body).contentUtf8() shouldBe answer.contentUtf8()
            second.call(
                HttpMethod.POST,
                "/v1/jobs",
                header,
                content = body.replace(":\"a\"", ":\"b\""),
            ).status().code() shouldBe
                409
            backend.starts.size shouldBe 1
        }
}
