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

    private fun WebClient.now(
        method: HttpMethod,
        path: String,
        body: String = "",
        vararg headers: Pair<CharSequence, String>,
    ): AggregatedHttpResponse = send(method, path, body, *headers).get(5, SECONDS)

    private val AggregatedHttpResponse.etag: String get() = headers().get(HttpHeaderNames.ETAG)!!

    // Guards against a table that lets two operators both win a race.
    @Test
    fun `a row is written only while its tag is the expected one`() {
        val path = "/v1/tables/rules/rows/a%2Fb"
        client.now(HttpMethod.GET, path).status() shouldBe HttpStatus.NOT_FOUND
        val first = client.now(HttpMethod.PUT, path, """{"v":1}""", HttpHeaderNames.IF_NONE_MATCH to "*")
        first.status() shouldBe HttpStatus.NO_CONTENT
        client.now(HttpMethod.PUT, path, """{"v":2}""", HttpHeaderNames.IF_NONE_MATCH to "*").status() shouldBe
            HttpStatus.PRECONDITION_FAILED
        client.now(HttpMethod.GET, path, "", HttpHeaderNames.IF_NONE_MATCH to first.etag).status() shouldBe
            HttpStatus.NOT_MODIFIED
        client.now(HttpMethod.PUT, path, """{"v":3}""", HttpHeaderNames.IF_MATCH to first.etag).status() shouldBe
            HttpStatus.NO_CONTENT
        client.now(HttpMethod.PUT, path, """{"v":4}""", HttpHeaderNames.IF_MATCH to first.etag).status() shouldBe
            HttpStatus.PRECONDITION_FAILED
        client.now(HttpMethod.GET, path).contentUtf8() shouldBe """{"v":3}"""
        client.now(HttpMethod.PUT, path, "{").status() shouldBe HttpStatus.BAD_REQUEST
    }

    @Test
    fun `a transaction writes all rows or none`() {
        val path = "/v1/tables/claims/transactions"
        val both = """{"writes":[{"key":"a","value":1,"ifNoneMatch":"*"},{"key":"b","value":2,"ifNoneMatch":"*"}]}"""
        client.now(HttpMethod.POST, path, both).status() shouldBe HttpStatus.OK
        val conflict = """{"writes":[{"key":"c","value":3},{"key":"a","value":1,"ifNoneMatch":"*"}]}"""
        client.now(HttpMethod.POST, path, conflict).status() shouldBe HttpStatus.PRECONDITION_FAILED
        client.now(HttpMethod.GET, "/v1/tables/claims/rows/c").status() shouldBe HttpStatus.NOT_FOUND
        client.now(HttpMethod.POST, path, """{"writes":[{"key":"a"}]}""").contentUtf8() shouldBe """{"etags":[""]}"""
        client.now(HttpMethod.GET, "/v1/tables/claims/rows/a").status() shouldBe HttpStatus.NOT_FOUND
    }

    @Test
    fun `an object is read as it was stored`() {
        client.now(HttpMethod.GET, "/v1/objects/x").status() shouldBe HttpStatus.NOT_FOUND
        client.now(HttpMethod.PUT, "/v1/objects/x", "text").status() shouldBe HttpStatus.NO_CONTENT
        client.now(HttpMethod.GET, "/v1/objects/x").contentUtf8() shouldBe "text"
    }

    @Test
    fun `the list has a tag and lags`() {
        val list = client.now(HttpMethod.GET, "/v1/instances")
        list.contentUtf8() shouldContain """"id":"b1","role":"backend","failureDomain":"north""""
        client.now(HttpMethod.GET, "/v1/instances", "", HttpHeaderNames.IF_NONE_MATCH to list.etag).status() shouldBe
            HttpStatus.NOT_MODIFIED
        admin.now(HttpMethod.PUT, "/switches", """{"listLagMs":60000}""").status() shouldBe HttpStatus.OK
        val leaving = labJson.encodeToString(PlatformInstance.serializer(), backend.copy(state = InstanceState.LEAVING))
        admin.now(HttpMethod.PUT, "/instances/b1", leaving).contentUtf8() shouldContain "leaving"
        client.now(HttpMethod.GET, "/v1/instances").contentUtf8() shouldNotContain "leaving"
        admin.now(HttpMethod.PUT, "/switches", """{"listLagMs":0}""")
        client.now(HttpMethod.GET, "/v1/instances").contentUtf8() shouldContain "leaving"
    }

    // Guards against a lost reply that also loses the write, which would never exercise the read-back of a claim.
    @Test
    fun `a write whose reply is lost has taken effect`() {
        platform.change(PlatformSwitches(lostReplyShare = 1.0))
        shouldThrow<Exception> { client.now(HttpMethod.PUT, "/v1/tables/t/rows/k", "7") }
        client.now(HttpMethod.GET, "/v1/tables/t/rows/k").contentUtf8() shouldBe "7"
        admin.now(HttpMethod.GET, "/counters").contentUtf8() shouldContain "\"lostReplies\":1"
    }

    @Test
    fun `outages fail, hang or close connections, and end`() {
        platform.change(PlatformSwitches(outage = PlatformOutage.ERROR))
        client.now(HttpMethod.GET, "/v1/instances").status() shouldBe HttpStatus.SERVICE_UNAVAILABLE
        platform.change(PlatformSwitches(outage = PlatformOutage.HANG))
        val held = client.send(HttpMethod.GET, "/v1/instances")
        shouldThrow<TimeoutException> { held.get(200, MILLISECONDS) }
        platform.change(PlatformSwitches())
        held.get(5, SECONDS).status() shouldBe HttpStatus.OK
        platform.change(PlatformSwitches(outage = PlatformOutage.DOWN))
        shouldThrow<Exception> { client.now(HttpMethod.GET, "/v1/instances") }
        platform.change(PlatformSwitches(delayMs = 50))
        client.now(HttpMethod.GET, "/v1/instances").status() shouldBe HttpStatus.OK
    }
}
