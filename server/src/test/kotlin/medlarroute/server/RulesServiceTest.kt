package medlarroute.server

import com.linecorp.armeria.client.WebClient
import com.linecorp.armeria.common.AggregatedHttpResponse
import com.linecorp.armeria.server.Server
import io.kotest.matchers.shouldBe
import kotlinx.serialization.json.Json
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test

class RulesServiceTest {
    private val platform = FakePlatform()
    private val instance = TestInstance("e1", platform = platform.settings)
    private val server = Server.builder().http(0).also { instance.network.rules.addTo(it) }.build()
        .also { it.start().join() }
    private val client = WebClient.of("http://127.0.0.1:${server.activeLocalPort()}")

    @AfterEach
    fun close() = closeAll(listOf(server, instance, platform))

    private fun put(expectedVersion: Long, text: String): AggregatedHttpResponse =
        client.put("/v1/rules", Json.encodeToString(ApplyRulesBody(expectedVersion, text))).aggregate().join()

    private fun applied(response: AggregatedHttpResponse): ApplyRulesReply = Json.decodeFromString(
        response.contentUtf8(),
    )

    /** Guards against status codes and bodies that do not show whether rules were accepted or why they were not. */
    @Test
    fun `operators read and apply rules and get the reason for a rejection`() {
        client.get("/v1/rules").aggregate().join().status().code() shouldBe 404
        applied(put(0, "first")) shouldBe ApplyRulesReply("accepted", 1)
        val read = client.get("/v1/rules").aggregate().join()
        Json.decodeFromString<RulesBody>(read.contentUtf8()) shouldBe RulesBody(1, "first")
        val conflict = put(0, "second")
        conflict.status().code() shouldBe 409
        applied(conflict) shouldBe ApplyRulesReply("conflict", 1, "first")
        val invalid = put(1, "bad")
        invalid.status().code() shouldBe 422
        applied(invalid).findings shouldBe listOf(RulesFindingBody(1, "bad word"))
        client.put("/v1/rules", "no json").aggregate().join().status().code() shouldBe 400
        platform.isDown = true
        val unavailable = put(1, "second")
        unavailable.status().code() shouldBe 503
        applied(unavailable).status shouldBe "unavailable"
        val status = client.get("/v1/rules/status").aggregate().join()
        Json.decodeFromString<RulesStatusBody>(status.contentUtf8()).instances.single().version shouldBe 1
    }
}
