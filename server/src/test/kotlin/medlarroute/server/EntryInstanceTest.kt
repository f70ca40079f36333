package medlarroute.server

import com.linecorp.armeria.client.WebClient
import com.linecorp.armeria.common.AggregatedHttpResponse
import com.linecorp.armeria.common.HttpMethod
import com.linecorp.armeria.common.RequestHeaders
import io.kotest.matchers.shouldBe
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.jsonArray
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import medlarroute.core.CallerSettings
import medlarroute.core.Rules
import medlarroute.core.Settings
import org.junit.jupiter.api.Test

class EntryInstanceTest {
    private fun send(client: WebClient, method: HttpMethod, path: String, submission: String?, body: String) =
        client.execute(
            RequestHeaders.builder(method, path)
                .add("X-Caller", "router")
                .apply { submission?.let { add("Submission-Id", it) } }
                .build(),
            body,
        ).aggregate().join()

    private fun AggregatedHttpResponse.field(name: String) =
        Json.parseToJsonElement(contentUtf8()).jsonObject.getValue(name)

    /** Guards against a broken path from the HTTP request over engine and backend server to the answer. */
    @Test
    fun `a job sent over HTTP is run on a backend server and answered with all outputs in order`() {
        FakeBackend().use { backend ->
            val instance = EntryInstance(Settings(callers = CallerSettings(port = 0)))
            instance.start()
            instance.applyRules(Rules(version = 1))
            instance.addBackend(backend.endpoint)
            val client = WebClient.of("http://127.0.0.1:${instance.callerPort}")
            val ticket = send(client, HttpMethod.POST, "/v1/tickets", null, "").field("ticket").jsonPrimitive.content
            val body = """{"kind":"check","tasks":[{"payload":"a"},{"payload":"b"},{"payload":"c"}]}"""
            val answer = send(client, HttpMethod.POST, "/v1/jobs", "$ticket/1", body)
            answer.status().code() shouldBe 200
            answer.field("results").jsonArray.map { it.jsonObject.getValue("output").jsonPrimitive.content } shouldBe
                listOf("out of a", "out of b", "out of c")
            val again = send(client, HttpMethod.POST, "/v1/jobs", "$ticket/1", body)
            again.contentUtf8() shouldBe answer.contentUtf8()
            backend.starts.size shouldBe 3
        }
    }
}
