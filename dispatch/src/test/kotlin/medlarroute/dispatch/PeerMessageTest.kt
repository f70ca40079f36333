package medlarroute.dispatch

import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import kotlinx.serialization.json.Json
import org.junit.jupiter.api.Test

/** Messages that instances of this version and of earlier ones send each other. */
class PeerMessageTest {
    private val json = Json { ignoreUnknownKeys = true }

    private fun encode(message: PeerMessage) = json.encodeToString(PeerMessage.serializer(), message)

    private fun decode(text: String) = json.decodeFromString(PeerMessage.serializer(), text)

    /** Guards against an instance of an earlier version that closes the connection since a field is missing. */
    @Test
    fun `a message on open jobs has the field that earlier versions require`() {
        val message = PeerMessage.ActiveRuns(emptyList(), running = listOf(JobId("j")))
        encode(message) shouldContain "\"tasks\":[]"
        decode(encode(message)) shouldBe message
    }

    /** Guards against rejecting the messages of an instance of an earlier version. */
    @Test
    fun `messages without the fields of this version are read`() {
        val tasks = listOf(TaskKey(JobId("j"), 0, 1))
        val run = """{"job":"j","step":0,"index":1}"""
        decode("""{"type":"active","tasks":[$run]}""") shouldBe PeerMessage.ActiveRuns(tasks)
        decode("""{"type":"moved","number":1,"job":"j","progress":{}}""") shouldBe
            PeerMessage.Moved(1, JobId("j"), JobProgress(), openAt = null)
        val configuration = """{"version":1,"queues":[],"services":[],"limits":""" +
            """{"headerBytes":1,"bodyBytes":1,"idleTimeoutMs":1}}"""
        (decode("""{"type":"configuration","configuration":$configuration}""") as PeerMessage.Configuration)
            .evacuated shouldBe null
    }

    /** Guards against longer heartbeats in deployments that never evacuate a failure domain. */
    @Test
    fun `a heartbeat without an evacuation has no field for it`() {
        encode(PeerMessage.Heartbeat(configurationVersion = 3)) shouldBe """{"type":"beat","configurationVersion":3}"""
        val evacuating = PeerMessage.Heartbeat(evacuationVersion = 7)
        decode(encode(evacuating)) shouldBe evacuating
    }
}
