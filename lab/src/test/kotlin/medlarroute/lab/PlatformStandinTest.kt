package medlarroute.lab

import com.linecorp.armeria.client.ClientFactory
import com.linecorp.armeria.client.WebClient
import com.linecorp.armeria.common.AggregatedHttpResponse
import com.linecorp.armeria.common.HttpHeaderNames
import com.linecorp.armeria.common.HttpMethod
import com.linecorp.armeria.common.HttpRequest
import com.linecorp.armeria.common.HttpStatus
import com.linecorp.armeria.common.MediaType
import com.linecorp.armeria.common.RequestHeaders
import io.kotest.assertions.throwables.shouldThrow
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.string.shouldNotContain
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit.MILLISECONDS
import java.util.concurrent.TimeUnit.SECONDS
import java.util.concurrent.TimeoutException

class PlatformStandinTest {
    private val backend = PlatformInstance("b1", InstanceRole.BACKEND, "north", port = 9000, slots = 8)
    private val factory = ClientFactory.builder().http2GracefulShutdownTimeoutMillis(0).build()
    private val platform = PlatformStandin(listOf(backend)).start()
    private val client = client(platform.port)
    private val admin = client(platform.adminPort)

    @AfterEach
    fun close() {
        factory.close()
        platform.close()
    }

    private fun client(port: Int) =
        WebClient.builder("http://127.0.0.1:$port").factory(factory).responseTimeoutMillis(0).build()

    private fun WebClient.send(
        method: HttpMethod,
        path: String,
        body: String = "",
        vararg headers: Pair<CharSequence, String>,
    ): CompletableFuture<AggregatedHttpResponse> {
        val head = RequestHeaders.builder(method, path).contentType(MediaType.JSON)
        headers.forEach { (name, value) -> head.set(name, value) }
        return execute(HttpRequest.of(head.build(), com.linecorp.armeria.common.HttpData.ofUtf8(body))).aggregate()
    }

    private fun WebClient.call(
        method: HttpMethod,
        path: String,
        body: String = "",
        vararg headers: Pair<CharSequence, String>,
    ): AggregatedHttpResponse = send(method, path, body, *headers).get(5, SECONDS)

    private val AggregatedHttpResponse.etag: String get() = headers().get(HttpHeaderNames.ETAG)!!

    // Guards against two operators who both succeed with conflicting writes to a row.
    @Test
    fun `a conditional write fails unless the row has the expected ETag`() {
        val path = "/v1/tables/rules/rows/a%2Fb"
        client.call(HttpMethod.GET, path).status() shouldBe HttpStatus.NOT_FOUND
        val first = client.call(HttpMethod.PUT, path, """{"v":1}""", HttpHeaderNames.IF_NONE_MATCH to "*")
        first.status() shouldBe HttpStatus.NO_CONTENT
        client.call(HttpMethod.PUT, path, """{"v":2}""", HttpHeaderNames.IF_NONE_MATCH to "*").status() shouldBe
            HttpStatus.PRECONDITION_FAILED
        client.call(HttpMethod.GET, path, "", HttpHeaderNames.IF_NONE_MATCH to first.etag).status() shouldBe
            HttpStatus.NOT_MODIFIED
        client.call(HttpMethod.PUT, path, """{"v":3}""", HttpHeaderNames.IF_MATCH to first.etag).status() shouldBe
            HttpStatus.NO_CONTENT
        client.call(HttpMethod.PUT, path, """{"v":4}""", HttpHeaderNames.IF_MATCH to first.etag).status() shouldBe
            HttpStatus.PRECONDITION_FAILED
        client.call(HttpMethod.GET, path).contentUtf8() shouldBe """{"v":3}"""
        client.call(HttpMethod.PUT, path, "{").status() shouldBe HttpStatus.BAD_REQUEST
    }

    @Test
    fun `a transaction writes all rows or none`() {
        val path = "/v1/tables/claims/transactions"
        val both = """{"writes":[{"key":"a","value":1,"ifNoneMatch":"*"},{"key":"b","value":2,"ifNoneMatch":"*"}]}"""
        client.call(HttpMethod.POST, path, both).status() shouldBe HttpStatus.OK
        val conflict = """{"writes":[{"key":"c","value":3},{"key":"a","value":1,"ifNoneMatch":"*"}]}"""
        client.call(HttpMethod.POST, path, conflict).status() shouldBe HttpStatus.PRECONDITION_FAILED
        client.call(HttpMethod.GET, "/v1/tables/claims/rows/c").status() shouldBe HttpStatus.NOT_FOUND
        client.call(HttpMethod.POST, path, """{"writes":[{"key":"a"}]}""").contentUtf8() shouldBe
            """{"etags":[""]}"""
        client.call(HttpMethod.GET, "/v1/tables/claims/rows/a").status() shouldBe HttpStatus.NOT_FOUND
    }

    @Test
    fun `a stored object can be read back`() {
        client.call(HttpMethod.GET, "/v1/objects/x").status() shouldBe HttpStatus.NOT_FOUND
        client.call(HttpMethod.PUT, "/v1/objects/x", "text").status() shouldBe HttpStatus.NO_CONTENT
        client.call(HttpMethod.GET, "/v1/objects/x").contentUtf8() shouldBe "text"
    }

    @Test
    fun `the instance list has an ETag and is served with the configured lag`() {
        val list = client.call(HttpMethod.GET, "/v1/instances")
        list.contentUtf8() shouldContain """"id":"b1","role":"backend","failureDomain":"north""""
        client.call(HttpMethod.GET, "/v1/instances", "", HttpHeaderNames.IF_NONE_MATCH to list.etag).status() shouldBe
            HttpStatus.NOT_MODIFIED
        admin.call(HttpMethod.PUT, "/switches", """{"listLagMs":60000}""").status() shouldBe HttpStatus.OK
        val leaving = labJson.encodeToString(PlatformInstance.serializer(), backend.copy(state = InstanceState.LEAVING))
        admin.call(HttpMethod.PUT, "/instances/b1", leaving).contentUtf8() shouldContain "leaving"
        client.call(HttpMethod.GET, "/v1/instances").contentUtf8() shouldNotContain "leaving"
        admin.call(HttpMethod.PUT, "/switches", """{"listLagMs":0}""")
        client.call(HttpMethod.GET, "/v1/instances").contentUtf8() shouldContain "leaving"
    }

    // Guards against a lost reply that also loses the write: then no test would cover reading a claim back after a lost
    // reply.
    @Test
    fun `a write whose reply is lost has taken effect`() {
        platform.applySwitches(PlatformSwitches(lostReplyShare = 1.0))
        shouldThrow<Exception> { client.call(HttpMethod.PUT, "/v1/tables/t/rows/k", "7") }
        client.call(HttpMethod.GET, "/v1/tables/t/rows/k").contentUtf8() shouldBe "7"
        admin.call(HttpMethod.GET, "/counters").contentUtf8() shouldContain "\"lostReplies\":1"
    }

    @Test
    fun `outages fail requests, stall or reset connections, and end`() {
        platform.applySwitches(PlatformSwitches(outage = PlatformOutage.ERROR))
        client.call(HttpMethod.GET, "/v1/instances").status() shouldBe HttpStatus.SERVICE_UNAVAILABLE
        platform.applySwitches(PlatformSwitches(outage = PlatformOutage.HANG))
        val pending = client.send(HttpMethod.GET, "/v1/instances")
        shouldThrow<TimeoutException> { pending.get(200, MILLISECONDS) }
        platform.applySwitches(PlatformSwitches())
        pending.get(5, SECONDS).status() shouldBe HttpStatus.OK
        platform.applySwitches(PlatformSwitches(outage = PlatformOutage.DOWN))
        shouldThrow<Exception> { client.call(HttpMethod.GET, "/v1/instances") }
        platform.applySwitches(PlatformSwitches(delayMs = 50))
        client.call(HttpMethod.GET, "/v1/instances").status() shouldBe HttpStatus.OK
    }
}
