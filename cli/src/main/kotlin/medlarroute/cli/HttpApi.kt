package medlarroute.cli

import kotlinx.serialization.json.Json
import java.io.IOException
import java.net.ConnectException
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpConnectTimeoutException
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import java.time.Duration

/** Reply of an entry instance. */
internal class HttpReply(val status: Int, val body: String)

/** No reply came. [isSent] is false if it is certain that the request was not sent. */
internal class NoReply(val isSent: Boolean, override val message: String, cause: Throwable) :
    IOException(message, cause) {
    /** End of a command that can't do without the reply. */
    fun asFailure(advice: String = ""): CliFailure = CliFailure(ExitCode.NOT_REACHABLE, message + advice, this)
}

/** Requests to an entry instance at [baseUrl]. */
internal class HttpApi(private val baseUrl: String, private val headers: Map<String, String> = emptyMap()) {
    private val client = HttpClient.newBuilder()
        .version(HttpClient.Version.HTTP_1_1)
        .connectTimeout(CONNECT_TIMEOUT)
        .build()

    /** Sends a request; throws [NoReply]. */
    fun send(
        method: String,
        path: String,
        body: String = "",
        headers: Map<String, String> = emptyMap(),
        timeout: Duration = REPLY_TIMEOUT,
    ): HttpReply {
        val request = request(method, path, body, this.headers + headers, timeout)
        try {
            val response = client.send(request, HttpResponse.BodyHandlers.ofString())
            return HttpReply(response.statusCode(), response.body())
        } catch (e: IOException) {
            throw noReply(e)
        }
    }

    private fun noReply(e: IOException): NoReply {
        val isSent = e !is ConnectException && e !is HttpConnectTimeoutException
        val what = if (isSent) "no reply from $baseUrl" else "$baseUrl can't be reached"
        val reason = e.message ?: if (e is ConnectException) "no connection" else e.javaClass.simpleName
        return NoReply(isSent, "$what: $reason", e)
    }

    private fun request(method: String, path: String, body: String, headers: Map<String, String>, timeout: Duration) =
        try {
            val builder = HttpRequest.newBuilder(URI(baseUrl.trimEnd('/') + path)).timeout(timeout)
            builder.method(method, HttpRequest.BodyPublishers.ofString(body))
            (headers + ("Content-Type" to "application/json")).forEach { (name, value) -> builder.header(name, value) }
            builder.build()
        } catch (e: java.net.URISyntaxException) {
            throw CliFailure(ExitCode.BAD_INPUT, "not a URL: $baseUrl (${e.reason})", e)
        } catch (e: IllegalArgumentException) {
            throw CliFailure(ExitCode.BAD_INPUT, "the request can't be built: ${e.message}", e)
        }

    companion object {
        private val CONNECT_TIMEOUT = Duration.ofSeconds(3)
        private val REPLY_TIMEOUT = Duration.ofSeconds(10)

        /** Reads replies; ignores fields that a newer server adds. */
        val json = Json { ignoreUnknownKeys = true }
    }
}

/** Reads [text] as JSON, or says that the server at the other end is not an entry instance. */
internal inline fun <reified T> decodeReply(reply: HttpReply): T =
    try {
        HttpApi.json.decodeFromString<T>(reply.body)
    } catch (e: IllegalArgumentException) {
        val start = reply.body.take(MAX_SHOWN_CHARS)
        throw CliFailure(ExitCode.NOT_REACHABLE, "unexpected reply with status ${reply.status}: $start", e)
    }

internal const val MAX_SHOWN_CHARS = 300
