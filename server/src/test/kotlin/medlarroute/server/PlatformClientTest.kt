package medlarroute.server

import com.linecorp.armeria.client.ClientFactory
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import kotlinx.serialization.builtins.serializer
import kotlinx.serialization.json.JsonPrimitive
import medlarroute.core.PlatformSettings
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test

class PlatformClientTest {
    private val platform = FakePlatform()
    private val client = PlatformClient(platform.settings, ClientFactory.ofDefault())

    @AfterEach
    fun close() = platform.close()

    private fun read(etag: String? = null) = client.read("t", "a/b c", String.serializer(), etag).join()

    private fun write(value: String, condition: WriteCondition) =
        client.write("t", "a/b c", String.serializer(), value, condition).join()

    @Test
    fun `a write succeeds only if the row is as expected`() {
        read().getOrNull() shouldBe Fetched.Absent
        val tag = write("one", WriteCondition.Absent).getOrNull().orEmpty()
        write("two", WriteCondition.Absent).leftOrNull() shouldBe PlatformError.ConditionFailed
        read().getOrNull() shouldBe Fetched.Present("one", tag)
        read(tag).getOrNull() shouldBe Fetched.Unchanged
        write("two", WriteCondition.Unchanged(tag)).isRight() shouldBe true
        write("three", WriteCondition.Unchanged(tag)).leftOrNull() shouldBe PlatformError.ConditionFailed
    }

    @Test
    fun `a write whose reply is lost is reported as unknown and not as failed`() {
        platform.repliesToLose.set(1)
        write("one", WriteCondition.Absent).leftOrNull().shouldBeInstanceOf<PlatformError.OutcomeUnknown>()
        read().getOrNull().shouldBeInstanceOf<Fetched.Present<String>>().value shouldBe "one"
        platform.isDown = true
        write("two", WriteCondition.Absent).leftOrNull().shouldBeInstanceOf<PlatformError.OutcomeUnknown>()
        read().leftOrNull().shouldBeInstanceOf<PlatformError.Unavailable>()
    }

    @Test
    fun `a write that was never delivered is known not to have taken effect`() {
        val nobody = PlatformClient(PlatformSettings(url = "http://127.0.0.1:21999"), ClientFactory.ofDefault())
        nobody.write("t", "k", String.serializer(), "v", WriteCondition.Absent).join().leftOrNull()
            .shouldBeInstanceOf<PlatformError.Unavailable>()
    }

    @Test
    fun `a connection that has gone silent is replaced by a new one`() {
        CountingRelay(platform.settings.url.substringAfterLast(':').toInt()).use { relay ->
            val through = platform.settings.copy(url = "http://127.0.0.1:${relay.port}")
            val watched = PlatformClient(through, ClientFactory.ofDefault())
            fun isAnswered() = watched.instances().join().isRight()
            eventually("the first read is answered") { isAnswered() }
            relay.silence()
            isAnswered() shouldBe false
            eventually("a read is answered on a new connection") { isAnswered() }
        }
    }

    @Test
    fun `a transaction inserts all rows or none`() {
        val rows = listOf("x", "y", "z").associateWith { NewRow(it, JsonPrimitive(1)) }
        fun insert(vararg keys: String) = client.insertAll("t", keys.map(rows::getValue)).join()
        insert("x", "y").isRight() shouldBe true
        insert("z", "y").leftOrNull() shouldBe PlatformError.ConditionFailed
        client.read("t", "z", String.serializer()).join().getOrNull() shouldBe Fetched.Absent
    }

    @Test
    fun `the list of instances tells roles, states and addresses`() {
        platform.listed = listOf(
            ListedInstance("e1", "entry", "north", "127.0.0.1", 21_001, operatorsPort = 21_002),
            ListedInstance("b1", "backend", "north", "127.0.0.1", 21_003, state = "leaving", slots = 8),
        )
        val found = client.instances().join().getOrNull().shouldBeInstanceOf<Fetched.Present<InstanceListBody>>()
        val list = found.value.toList()
        list.entries.single().peerPort shouldBe 21_001
        list.backends.single().leaving shouldBe true
        client.instances(found.etag).join().getOrNull() shouldBe Fetched.Unchanged
    }
}
