package medlarroute.cli

import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldEndWith
import io.kotest.matchers.string.shouldNotContain
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import org.apache.logging.log4j.Level
import org.apache.logging.log4j.core.Filter
import org.apache.logging.log4j.core.LogEvent
import org.apache.logging.log4j.core.LoggerContext
import org.apache.logging.log4j.core.config.Configurator
import org.apache.logging.log4j.core.impl.Log4jLogEvent
import org.apache.logging.log4j.message.SimpleMessage
import org.apache.logging.log4j.util.SortedArrayStringMap
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test

/** Checks the layouts and the rate limits in log4j2.xml. */
class LogConfigurationTest {
    private val context: LoggerContext = Configurator.initialize("test", "classpath:log4j2.xml")

    @AfterEach
    fun close() = context.close()

    private fun event(level: Level, message: String): LogEvent {
        val fields = SortedArrayStringMap().apply { putValue("submission", "north.e1.1.1/7") }
        return Log4jLogEvent.newBuilder().setLevel(
            level,
        ).setMessage(SimpleMessage(message)).setContextData(fields).build()
    }

    private fun line(appender: String, event: LogEvent) =
        context.configuration.appenders.getValue(appender).layout.toByteArray(event).decodeToString()

    /** A line break in text from a caller would otherwise let the caller forge a log line. */
    @Test
    fun `a text line has the submission id and escapes line breaks of the message`() {
        val line = line("TEXT", event(Level.WARN, "backend: lost\nERROR forged"))
        line shouldEndWith "Z WARN  [north.e1.1.1/7] backend: lost\\nERROR forged\n"
        line.trimEnd() shouldNotContain "\n"
    }

    @Test
    fun `a JSON line has the submission id`() {
        val json = Json.parseToJsonElement(line("JSON", event(Level.INFO, "engine: started"))).jsonObject
        json.getValue("submission").jsonPrimitive.content shouldBe "north.e1.1.1/7"
        json.getValue("message").jsonPrimitive.content shouldBe "engine: started"
    }

    /** Without a separate limit, a burst of INFO events would use up the budget, and errors would be dropped. */
    @Test
    fun `INFO events are rate limited apart from errors`() {
        val filter = context.configuration.rootLogger.appenderRefs.single().filter
        val written = (1..5_000).count { filter.filter(event(Level.INFO, "http: flood")) != Filter.Result.DENY }
        written shouldBe 500
        filter.filter(event(Level.ERROR, "engine: fault")) shouldBe Filter.Result.NEUTRAL
    }
}
