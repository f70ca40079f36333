package medlarroute.server

import com.linecorp.armeria.client.WebClient
import com.linecorp.armeria.common.AggregatedHttpResponse
import com.linecorp.armeria.common.HttpMethod
import com.linecorp.armeria.common.RequestHeaders
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.jsonArray
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import medlarroute.core.CallerSettings
import medlarroute.core.DrainSettings
import medlarroute.core.InstanceSettings
import medlarroute.core.OperatorSettings
import medlarroute.core.PeerSettings
import medlarroute.core.Settings
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.BeforeEach
import org.junit.jupiter.api.Test

/** Complete entry instances that are connected to each other, a platform and a backend server. */
class PeerExtensionTest {
    private val platform = FakePlatform()
    private val backend = FakeBackend()
    private val body = """{"kind":"check","tasks":[{"payload":"a"},{"payload":"b"}]}"""
    private val running = ArrayList<EntryInstance>()

    @BeforeEach
    fun listBackend() {
        platform.listed = listOf(ListedInstance("b1", "backend", "local", "127.0.0.1", backend.port, slots = 8))
    }

    @AfterEach
    fun close() = closeAll(running.map { AutoCloseable { it.drain() } } + platform + backend)

    private fun start(name: String, seed: EntryInstance? = null): EntryInstance {
        val instance = EntryInstance(
            Settings(
                instance = InstanceSettings(name, instancesInFailureDomain = 4),
                callers = CallerSettings(port = 0),
                operators = OperatorSettings(port = 0),
                peers = PeerSettings(
                    port = 0,
                    heartbeatIntervalMs = 50,
                    deadAfterMs = 500,
                    seeds = listOfNotNull(seed?.let { "127.0.0.1:${it.peerPort()}" }),
                ),
                platform = platform.settings,
                drain = DrainSettings(settleMs = 0),
            ),
        )
        instance.start()
        running += instance
        return instance
    }

    private fun startCluster(): List<EntryInstance> {
        val first = start("e1")
        val instances = listOf(first, start("e2", first), start("e3", first))
        val rules = RequestHeaders.of(HttpMethod.PUT, "/v1/rules")
        val text = Json.encodeToString(ApplyRulesBody(0, ""))
        first.operators().execute(rules, text).aggregate().join().status().code() shouldBe 200
        eventually("all are ready and peers of each other") {
            instances.all {
                it.operators().get("/readyz").aggregate().join().status().code() == 200 && it.members() == 2
            }
        }
        return instances
    }

    private fun EntryInstance.operators() = WebClient.of("http://127.0.0.1:$operatorPort")

    private fun EntryInstance.peers() =
        operators().get("/v1/status").aggregate().join().json().getValue("peers").jsonObject

    private fun EntryInstance.peerPort() = peers().getValue("peerPort").jsonPrimitive.content

    private fun EntryInstance.members() =
        peers().getValue("members").jsonArray.size

    private fun EntryInstance.post(path: String, vararg headers: Pair<String, String>): AggregatedHttpResponse {
        val requestHeaders = RequestHeaders.builder(HttpMethod.POST, path).add("X-Caller", "router")
        headers.forEach { (name, value) -> requestHeaders.add(name, value) }
        return WebClient.of("http://127.0.0.1:$callerPort").execute(requestHeaders.build(), body).aggregate().join()
    }

    private fun AggregatedHttpResponse.json() = Json.parseToJsonElement(contentUtf8()).jsonObject

    /** Guards against a job that runs twice, on its home and elsewhere, and against answers lost at shutdown. */
    @Test
    fun `a job runs once, whichever instances it is sent to, and its answer is available after its home stopped`() {
        val (first, second, third) = startCluster()
        val ticket = first.post("/v1/tickets").json().getValue("ticket").jsonPrimitive.content
        val answer = second.post("/v1/jobs", "Submission-Id" to "$ticket/1")
        answer.contentUtf8() shouldContain "out of b"
        listOf(first, third).forEach { instance ->
            instance.post("/v1/jobs", "Submission-Id" to "$ticket/1").contentUtf8() shouldBe answer.contentUtf8()
        }
        running -= first
        first.drain() shouldBe DrainReport(unfinishedJobs = 0, handedOver = true)
        listOf(second, third).forEach { instance ->
            eventually("the answer is replayed") {
                instance.post("/v1/jobs", "Submission-Id" to "$ticket/1").contentUtf8() == answer.contentUtf8()
            }
        }
        backend.starts.size shouldBe 2
    }

    /** Guards against two instances that run a job for the same key, and against starts without a claim. */
    @Test
    fun `a job with an idempotency key runs once, and not at all without the platform`() {
        val (first, second, third) = startCluster()
        val answer = first.post("/v1/jobs", "Idempotency-Key" to "k1")
        answer.contentUtf8() shouldContain "out of b"
        listOf(first, second, third).forEach { instance ->
            instance.post("/v1/jobs", "Idempotency-Key" to "k1").contentUtf8() shouldBe answer.contentUtf8()
        }
        backend.starts.size shouldBe 2
        platform.isDown = true
        val unknown = second.post("/v1/jobs", "Idempotency-Key" to "k2")
        unknown.status().code() shouldBe 503
        unknown.contentUtf8() shouldContain "CLAIM_UNKNOWN"
        backend.starts.size shouldBe 2
        platform.isDown = false
        // The failed write may have taken effect, so the key may already be claimed. The job then runs, or is answered
        // with an unknown claim again. It must not start with a claim that is only partly written.
        val repeated = second.post("/v1/jobs", "Idempotency-Key" to "k2")
        (repeated.status().code() in listOf(200, 503)) shouldBe true
    }
}
