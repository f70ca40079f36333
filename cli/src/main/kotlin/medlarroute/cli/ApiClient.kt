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

/** HTTP reply of an entry instance. */
internal class HttpReply(val status: Int, val body: String)

/** No reply was received. If [mayHaveBeenSent] is false, the request was certainly not sent. */
internal class NoReplyException(val mayHaveBeenSent: Boolean, override val message: String, cause: Throwable) :
    IOException(message, cause) {
    /** Returns the failure that ends a command for lack of the reply; [hint] is appended to the message. */
    fun toCliFailure(hint: String = ""): CliFailure = CliFailure(ExitCode.NOT_REACHABLE, message + hint, this)
}

/** HTTP/1.1 client of the API of the entry instance at [baseUrl]; [headers] are added to each request. */
internal class ApiClient(private val baseUrl: String, private val headers: Map<String, String> = emptyMap()) {
    private val httpClient = HttpClient.newBuilder()
        .version(HttpClient.Version.HTTP_1_1)
        .connectTimeout(CONNECT_TIMEOUT)
        .build()

    /** Sends a request and waits for the reply; throws [NoReplyException] if none is received. */
    fun send(
        method: String,
        path: String,
        body: String = "",
        headers: Map<String, String> = emptyMap(),
        timeout: Duration = REPLY_TIMEOUT,
    ): HttpReply {
        val request = request(method, path, body, this.headers + headers, timeout)
        try {
            val response = httpClient.send(request, HttpResponse.BodyHandlers.ofString())
            return HttpReply(response.statusCode(), response.body())
        } catch (e: IOException) {
            throw noReply(e)
        }
    }

    private fun noReply(e: IOException): NoReplyException {
        val mayHaveBeenSent = e !is ConnectException && e !is HttpConnectTimeoutException
        val what = if (mayHaveBeenSent) "no reply from $baseUrl" else "$baseUrl can't be reached"
        val reason = e.message ?: if (e is ConnectException) "no connection" else e.javaClass.simpleName
        return NoReplyException(mayHaveBeenSent, "$what: $reason", e)
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

        /** Parses replies; ignores unknown fields, which a newer server may add. */
        val json = Json { ignoreUnknownKeys = true }
    }
}

/** Parses the body of [reply] as JSON; ends the command if it has another form, as from some other kind of server. */
internal inline fun <reified T> decodeReply(reply: HttpReply): T =
    try {
        ApiClient.json.decodeFromString<T>(reply.body)
    } catch (e: IllegalArgumentException) {
        val start = reply.body.take(MAX_SHOWN_CHARS)
        throw CliFailure(ExitCode.NOT_REACHABLE, "unexpected reply with status ${reply.status}: $start", e)
    }

internal const val MAX_SHOWN_CHARS = 300
