package medlarroute.server

import com.linecorp.armeria.client.WebClient
import com.linecorp.armeria.common.AggregatedHttpResponse
import com.linecorp.armeria.common.HttpMethod
import com.linecorp.armeria.common.RequestHeaders
import com.linecorp.armeria.server.Server
import io.kotest.matchers.nulls.shouldBeNull
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.string.shouldNotContain
import medlarroute.core.CallerId
import medlarroute.core.FailureDomainId
import medlarroute.core.Incarnation
import medlarroute.core.InstanceId
import medlarroute.core.RegistrySettings
import medlarroute.core.SubmissionRegistry
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.assertThrows
import org.junit.jupiter.api.io.TempDir
import java.net.InetSocketAddress
import java.nio.file.Path
import java.util.concurrent.CompletableFuture
import java.util.concurrent.atomic.AtomicReference
import kotlin.io.path.writeText
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class CallerApiTest {
    @TempDir
    private lateinit var directory: Path

    private val home = SubmissionRegistry.Home(FailureDomainId("local"), InstanceId("e1"), Incarnation(7))
    private val registry = SubmissionRegistry(home, RegistrySettings())
    private val handled = AtomicReference<CallerRequest>()
    private val forwarded = AtomicReference<CallerRequest>()
    private val keyed = AtomicReference<KeyedRequest>()
    private var forwardReply = CompletableFuture.completedFuture(CallerReply(200, "{}".encodeToByteArray()))
    private var server: Server? = null

    @AfterEach
    fun close() {
        server?.closeAsync()
    }

    private fun client(authentication: CallerAuthentication = CallerAuthentication.byName()): WebClient {
        val reply = CompletableFuture.completedFuture(CallerReply(200, "{}".encodeToByteArray()))
        val api = CallerApi(
            RegistrySettings(),
            JobLimits(110, 65_536, 10.seconds, 60.seconds),
            authentication,
            registry,
            { it.ticket.instance == home.instance },
            { reply.also { _ -> handled.set(it) } },
            { forwardReply.also { _ -> forwarded.set(it) } },
            { reply.also { _ -> keyed.set(it) } },
        )
        val builder = Server.builder().http(InetSocketAddress("127.0.0.1", 0)).maxRequestLength(100_000)
        api.addTo(builder)
        val started = builder.build().also { it.start().join() }
        server = started
        return WebClient.of("http://127.0.0.1:${started.activeLocalPort()}")
    }

    private fun WebClient.send(
        method: HttpMethod,
        path: String,
        body: String = "",
        vararg headers: Pair<String, String>,
    ): AggregatedHttpResponse {
        val requestHeaders = RequestHeaders.builder(method, path)
        headers.forEach { (name, value) -> requestHeaders.add(name, value) }
        return execute(requestHeaders.build(), body).aggregate().join()
    }

    private val router = "X-Caller" to "router"

    /** Guards against requests of unauthenticated callers being handled, and against tokens in replies. */
    @Test
    fun `only a known token is accepted`() {
        val file = directory.resolve("tokens")
        file.writeText("# callers\nrouter s3cret\n\nother 0ther\n")
        val client = client(CallerAuthentication.byTokens(file))
        client.send(HttpMethod.POST, "/v1/tickets", "", "Authorization" to "Bearer s3cret").status().code() shouldBe 201
        val wrong = listOf("Bearer s3cre", "Bearer s3cret0", "Bearer ", "Basic s3cret", "s3cret")
        wrong.forEach { token ->
            val reply = client.send(HttpMethod.POST, "/v1/tickets", "", "Authorization" to token, router)
            reply.status().code() shouldBe 401
            reply.contentUtf8() shouldNotContain "s3cre"
        }
        client.send(HttpMethod.POST, "/v1/tickets", "", router).status().code() shouldBe 401
        client.send(HttpMethod.POST, "/v1/jobs", "{}", "Submission-Id" to "local.e1.7.1/1").status().code() shouldBe 401
        handled.get().shouldBeNull()
    }

    /** Guards against a token file that is partly applied, and against tokens in error messages. */
    @Test
    fun `a token file with malformed lines is rejected with their numbers`() {
        val file = directory.resolve("tokens")
        file.writeText("router s3cret\ns3cret2\nrouter s3cret3 more\n")
        val error = assertThrows<IllegalArgumentException> { CallerAuthentication.byTokens(file) }
        error.message!! shouldContain "[2, 3]"
        error.message!! shouldNotContain "s3cret"
    }

    /** Guards against a submission that is handled by an instance that is not its home. */
    @Test
    fun `requests go to their home with caller, body and timeout`() {
        val client = client()
        val body = """{"kind":"check","deadlineMs":700,"tasks":[{"payload":"a"}]}"""
        client.send(HttpMethod.POST, "/v1/jobs", body, router, "Submission-Id" to "local.e1.7.1/1")
        handled.get().caller shouldBe CallerId("router")
        handled.get().body.decodeToString() shouldBe body
        forwarded.get().shouldBeNull()
        client.send(HttpMethod.POST, "/v1/jobs", body, router, "Submission-Id" to "local.e2.7.1/3")
        forwarded.get().submission.toString() shouldBe "local.e2.7.1/3"
        forwarded.get().timeout shouldBe 700.milliseconds
        client.send(HttpMethod.GET, "/v1/jobs/local.e2.7.1/4", "", router)
        forwarded.get().operation shouldBe Operation.STATUS
        client.send(HttpMethod.DELETE, "/v1/jobs/local.e1.7.1/5", "", router)
        handled.get().operation shouldBe Operation.CANCEL
        client.send(HttpMethod.POST, "/v1/jobs", body, router, "Idempotency-Key" to "k1")
        keyed.get().key shouldBe "k1"
    }

    /** Guards against a caller that waits forever for a home that does not reply, and against a false "not run". */
    @Test
    fun `a forwarded request without reply is answered as may have run at the deadline`() {
        forwardReply = CompletableFuture()
        val body = """{"kind":"check","deadlineMs":1,"tasks":[{"payload":"a"}]}"""
        val reply = client().send(HttpMethod.POST, "/v1/jobs", body, router, "Submission-Id" to "local.e2.7.1/3")
        reply.status().code() shouldBe 504
        reply.contentUtf8() shouldContain "\"mayHaveRun\":true"
    }

    /** Guards against an exception that is reported as "not run". */
    @Test
    fun `an internal error is reported as may have run`() {
        forwardReply = CompletableFuture.failedFuture(IllegalStateException("broken"))
        val reply = client().send(HttpMethod.GET, "/v1/jobs/local.e2.7.1/3", "", router)
        reply.status().code() shouldBe 410
        reply.contentUtf8() shouldContain "\"mayHaveRun\":true"
    }

    /** Guards against requests that violate the protocol or its limits and are handled nevertheless. */
    @Test
    fun `invalid headers, ids and sizes are refused before the request is routed`() {
        val client = client()
        val id = "Submission-Id" to "local.e1.7.1/1"
        client.send(HttpMethod.POST, "/v1/jobs", "{}", router).status().code() shouldBe 400
        client.send(HttpMethod.POST, "/v1/jobs", "{}", router, id, "Idempotency-Key" to "k").status().code() shouldBe
            400
        client.send(HttpMethod.POST, "/v1/jobs", "{}", router, "Submission-Id" to "x/1").status().code() shouldBe 400
        client.send(HttpMethod.GET, "/v1/jobs/x/1", "", router).status().code() shouldBe 400
        val large = client.send(HttpMethod.POST, "/v1/jobs", "x".repeat(100_001), router, id)
        large.status().code() shouldBe 413
        large.contentUtf8() shouldNotContain "submission\""
        handled.get().shouldBeNull()
    }

    /** Guards against loss of content in large bodies, which are parsed on another thread. */
    @Test
    fun `a large body arrives in full`() {
        val body = "x".repeat(90_000)
        client().send(HttpMethod.POST, "/v1/jobs", body, router, "Submission-Id" to "local.e1.7.1/1")
        handled.get().body.decodeToString() shouldBe body
    }
}
