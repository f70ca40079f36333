package medlarroute.server

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import com.linecorp.armeria.client.ClientFactory
import com.linecorp.armeria.client.UnprocessedRequestException
import com.linecorp.armeria.client.WebClient
import com.linecorp.armeria.common.AggregatedHttpResponse
import com.linecorp.armeria.common.HttpData
import com.linecorp.armeria.common.HttpHeaderNames
import com.linecorp.armeria.common.HttpMethod
import com.linecorp.armeria.common.HttpRequest
import com.linecorp.armeria.common.HttpStatus
import com.linecorp.armeria.common.HttpStatusClass
import com.linecorp.armeria.common.MediaType
import com.linecorp.armeria.common.RequestHeaders
import com.linecorp.armeria.common.util.Exceptions
import kotlinx.serialization.KSerializer
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import medlarroute.core.PlatformSettings
import java.net.URLEncoder
import java.nio.charset.StandardCharsets
import java.util.concurrent.CompletableFuture
import kotlin.time.Duration.Companion.milliseconds

/**
 * Client of the platform's table service and instance list.
 *
 * Each call is one attempt that ends within [PlatformSettings.timeoutMs]. Results never complete exceptionally. Writes
 * are conditional, so that they can be retried safely.
 */
internal class PlatformClient(private val settings: PlatformSettings, factory: ClientFactory) {
    private val client: WebClient = WebClient.builder(settings.url)
        .factory(factory)
        .responseTimeoutMillis(settings.timeoutMs)
        .writeTimeoutMillis(settings.timeoutMs)
        .maxResponseLength(MAX_RESPONSE_BYTES)
        .decorator(ConnectionWatchdog(settings.timeoutMs.milliseconds)::execute)
        .build()

    /** Reads a row; with [knownEtag], returns the value only if it has changed. */
    fun <T> read(
        table: String,
        key: String,
        serializer: KSerializer<T>,
        knownEtag: String? = null,
    ): CompletableFuture<Either<PlatformError, Fetched<T>>> = fetch(rowPath(table, key), serializer, knownEtag)

    /** Reads the list of instances; with [knownEtag], returns it only if it has changed. */
    fun instances(knownEtag: String? = null): CompletableFuture<Either<PlatformError, Fetched<InstanceListBody>>> =
        fetch("/v1/instances", InstanceListBody.serializer(), knownEtag)

    /** Writes a row if [condition] holds; the result is the new entity tag. */
    fun <T> write(
        table: String,
        key: String,
        serializer: KSerializer<T>,
        value: T,
        condition: WriteCondition,
    ): CompletableFuture<Either<PlatformError, String>> {
        val headers = RequestHeaders.builder(HttpMethod.PUT, rowPath(table, key)).contentType(MediaType.JSON)
        when (condition) {
            is WriteCondition.Absent -> headers.add(HttpHeaderNames.IF_NONE_MATCH, "*")
            is WriteCondition.Unchanged -> headers.add(HttpHeaderNames.IF_MATCH, condition.etag)
        }
        return send(HttpRequest.of(headers.build(), body(serializer, value)), isWrite = true)
            .thenApply { result -> result.map { it.headers().get(HttpHeaderNames.ETAG).orEmpty() } }
    }

    /** Inserts all [rows] in one transaction, or none if any of them exists. */
    fun insertAll(table: String, rows: List<NewRow>): CompletableFuture<Either<PlatformError, Unit>> {
        val headers = RequestHeaders.of(
            HttpMethod.POST,
            "/v1/tables/${encoded(table)}/transactions",
            HttpHeaderNames.CONTENT_TYPE,
            MediaType.JSON,
        )
        val transaction = TransactionBody(rows.map { TransactionWrite(it.key, it.value, "*") })
        val request = HttpRequest.of(headers, body(TransactionBody.serializer(), transaction))
        return send(request, isWrite = true).thenApply { result -> result.map { } }
    }

    private fun <T> fetch(
        path: String,
        serializer: KSerializer<T>,
        knownEtag: String?,
    ): CompletableFuture<Either<PlatformError, Fetched<T>>> {
        val headers = RequestHeaders.builder(HttpMethod.GET, path)
        knownEtag?.let { headers.add(HttpHeaderNames.IF_NONE_MATCH, it) }
        return send(HttpRequest.of(headers.build()), isWrite = false).thenApply { result ->
            result.fold({ it.left() }, { fetched(it, serializer) })
        }
    }

    private fun <T> fetched(
        response: AggregatedHttpResponse,
        serializer: KSerializer<T>,
    ): Either<PlatformError, Fetched<T>> = when (response.status()) {
        HttpStatus.NOT_MODIFIED -> Fetched.Unchanged.right()

        HttpStatus.NOT_FOUND -> Fetched.Absent.right()

        else -> try {
            val value = json.decodeFromString(serializer, response.contentUtf8())
            Fetched.Present(value, response.headers().get(HttpHeaderNames.ETAG).orEmpty()).right()
        } catch (e: SerializationException) {
            PlatformError.Rejected(response.status().code(), "malformed value: ${e.message}").left()
        }
    }

    private fun send(
        request: HttpRequest,
        isWrite: Boolean,
    ): CompletableFuture<Either<PlatformError, AggregatedHttpResponse>> =
        client.execute(request).aggregate().handle { response, failure ->
            if (failure != null) failed(Exceptions.peel(failure), isWrite).left() else classified(response, isWrite)
        }

    private fun classified(
        response: AggregatedHttpResponse,
        isWrite: Boolean,
    ): Either<PlatformError, AggregatedHttpResponse> {
        val status = response.status()
        val isAnswer = status.codeClass() == HttpStatusClass.SUCCESS ||
            (!isWrite && (status == HttpStatus.NOT_MODIFIED || status == HttpStatus.NOT_FOUND))
        return when {
            isAnswer -> response.right()

            status == HttpStatus.PRECONDITION_FAILED -> PlatformError.ConditionFailed.left()

            // The request was rejected before it was processed.
            status == HttpStatus.TOO_MANY_REQUESTS -> PlatformError.Unavailable("too many requests").left()

            status.codeClass() == HttpStatusClass.SERVER_ERROR -> noResult("HTTP status $status", isWrite).left()

            else -> PlatformError.Rejected(status.code(), response.contentUtf8().take(MAX_MESSAGE_CHARS)).left()
        }
    }

    private fun failed(failure: Throwable, isWrite: Boolean): PlatformError {
        val isUnprocessed = failure is UnprocessedRequestException
        return noResult(failure.toString(), isWrite && !isUnprocessed)
    }

    private fun noResult(reason: String, isWrite: Boolean): PlatformError =
        if (isWrite) PlatformError.OutcomeUnknown(reason) else PlatformError.Unavailable(reason)

    private fun <T> body(serializer: KSerializer<T>, value: T) =
        HttpData.ofUtf8(json.encodeToString(serializer, value))

    private fun rowPath(table: String, key: String) = "/v1/tables/${encoded(table)}/rows/${encoded(key)}"

    private fun encoded(text: String): String =
        URLEncoder.encode(text, StandardCharsets.UTF_8).replace("+", "%20")

    private companion object {
        const val MAX_RESPONSE_BYTES = 16L * 1024 * 1024
        const val MAX_MESSAGE_CHARS = 500
        val json = Json { ignoreUnknownKeys = true }
    }
}
