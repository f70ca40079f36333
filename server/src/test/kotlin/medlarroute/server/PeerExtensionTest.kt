package medlarroute.server

import com.linecorp.armeria.client.WebClient
import com.linecorp.armeria.common.AggregatedHttpResponse
import com.linecorp.armeria.common.HttpMethod
import com.linecorp.armeria.common.RequestHeaders
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import medlarroute.core.CallerSettings
import medlarroute.core.DrainSettings
import medlarroute.core.Incarnation
import medlarroute.core.InstanceSettings
import medlarroute.core.OperatorSettings
import medlarroute.core.PeerSettings
import medlarroute.core.PlatformSettings
import medlarroute.core.Rules
import medlarroute.core.Settings
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test

class PeerExtensionTest {
    private class Node(val instance: EntryInstance, val peers: PeerExtension) {
        val callers = WebClient.of("http://127.0.0.1:${instance.callerPort}")
        val operators = WebClient.of("http://127.0.0.1:${instance.operatorPort}")
    }

    private val platform = FakePlatform()
    private val backend = FakeBackend()
    private val nodes = ArrayList<Node>()
    private val body = """{"kind":"check","tasks":[{"payload":"a"},{"payload":"b"}]}"""

    @AfterEach
    fun close() {
        closeAll(nodes.map { node -> AutoCloseable { node.instance.drain() } } + listOf(platform, backend))
    }

    private fun node(name: String, platform: PlatformSettings = this.platform.settings): Node {
        val settings = Settings(
            instance = InstanceSettings(name, "local", instancesInFailureDomain = 2),
            callers = CallerSettings(port = 0),
            operators = OperatorSettings(port = 0),
            peers = PeerSettings(
                port = 0,
                heartbeatIntervalMs = 50,
                deadAfterMs = 2_000,
                seeds = nodes.map { "127.0.0.1:${it.peers.peerPort}" },
            ),
            platform = platform,
            drain = DrainSettings(settleMs = 0),
        )
        lateinit var peers: PeerExtension
        val instance = EntryInstance(settings, Incarnation(1)) { PeerExtension(it).also { made -> peers = made } }
        instance.start()
        instance.applyRules(Rules(version = 1))
        instance.addBackend(backend.endpoint)
        return Node(instance, peers).also { nodes += it }
    }

    private fun pair(): Pair<Node, Node> {
        val first = node("e1")
        val second = node("e2")
        eventually("both know each other") { nodes.all(::knowsAll) }
        return first to second
    }

    private fun knowsAll(node: Node): Boolean {
        val status = node.operators.get("/v1/rules/status").aggregate().join().contentUtf8()
        return "e1" in status && "e2" in status && "\"reachable\":false" !in status
    }

    private fun Node.send(path: String, body: String, vararg headers: Pair<String, String>): AggregatedHttpResponse {
        val head = RequestHeaders.builder(HttpMethod.POST, path).add("X-Caller", "router")
        headers.forEach { (name, value) -> head.add(name, value) }
        return callers.execute(head.build(), body).aggregate().join()
    }

    private fun Node.ticket(): String =
        Regex("\"ticket\":\"([^\"]+)\"").find(send("/v1/tickets", "").contentUtf8())!!.groupValues[1]

    /** Guards against a job that runs twice, or gets two answers, because its copies reach different instances. */
    @Test
    fun `a job sent to the wrong instance and then to its home runs once and gets one answer`() {
        val (first, second) = pair()
        val submission = "Submission-Id" to "${first.ticket()}/1"
        val forwarded = second.send("/v1/jobs", body, submission)
        forwarded.status().code() shouldBe 200
        first.send("/v1/jobs", body, submission).contentUtf8() shouldBe forwarded.contentUtf8()
        backend.starts.size shouldBe 2
    }

    /** Guards against a second run of a job whose key was claimed through another instance. */
    @Test
    fun `jobs with the same key run once over all instances`() {
        val (first, second) = pair()
        val key = "Idempotency-Key" to "k1"
        val answer = first.send("/v1/jobs", body, key)
        answer.status().code() shouldBe 200
        second.send("/v1/jobs", body, key).contentUtf8() shouldBe answer.contentUtf8()
        first.send("/v1/jobs", body, key).contentUtf8() shouldBe answer.contentUtf8()
        second.send("/v1/jobs", """{"kind":"other","tasks":[{"payload":"a"}]}""", key).status().code() shouldBe 409
        backend.starts.size shouldBe 2
    }

    /** Guards against a start without a claim, and against a false "not run", while the platform is down. */
    @Test
    fun `a key that can't be claimed starts nothing and may have run`() {
        val node = node("e1")
        platform.isDown = true
        val reply = node.send("/v1/jobs", body, "Idempotency-Key" to "k1")
        reply.status().code() shouldBe 503
        reply.contentUtf8() shouldContain "CLAIM_UNKNOWN"
        reply.contentUtf8() shouldContain "\"mayHaveRun\":true"
        backend.starts.size shouldBe 0
    }

    /** Guards against an answer that is lost when its home stops, and against a second run at the successor. */
    @Test
    fun `a successor replays the answers of a home that was drained`() {
        val (first, second) = pair()
        val ticket = first.ticket()
        val answer = first.send("/v1/jobs", body, "Submission-Id" to "$ticket/1")
        first.instance.drain().handedOver shouldBe true
        nodes.remove(first)
        second.send("/v1/jobs", body, "Submission-Id" to "$ticket/1").contentUtf8() shouldBe answer.contentUtf8()
        second.send("/v1/jobs", body, "Submission-Id" to "$ticket/2").status().code() shouldBe 409
        backend.starts.size shouldBe 2
    }
}
