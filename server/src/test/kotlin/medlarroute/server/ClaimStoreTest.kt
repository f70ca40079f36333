package medlarroute.server

import com.linecorp.armeria.client.ClientFactory
import io.kotest.matchers.comparables.shouldBeLessThan
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import medlarroute.core.CallerId
import medlarroute.core.SubmissionId
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import java.util.concurrent.CompletableFuture
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

class ClaimStoreTest {
    private val platform = FakePlatform()

    @AfterEach
    fun close() = platform.close()

    private fun store() =
        ClaimStore(PlatformClient(platform.settings, ClientFactory.ofDefault()), 3.seconds, 15.minutes)

    private fun submission(sequence: Int) = checkNotNull(SubmissionId.parseOrNull("north.e1.1.1/$sequence"))

    private fun ClaimStore.claim(key: String, sequence: Int) = claim(CallerId("router"), key, submission(sequence))

    /** Guards against two submissions for one key, and against callers that share a key. */
    @Test
    fun `a key belongs to the first submission on all instances, separately for each caller`() {
        store().claim("k", 1).join() shouldBe ClaimResult.Claimed
        store().claim("k", 2).join() shouldBe ClaimResult.Taken(submission(1))
        store().claim(CallerId("other"), "k", submission(3)).join() shouldBe ClaimResult.Claimed
        store().claim(CallerId("router:k"), "x", submission(4)).join() shouldBe ClaimResult.Claimed
        store().claim(CallerId("router"), "k:x", submission(5)).join() shouldBe ClaimResult.Claimed
    }

    /** Guards against concurrent claims that both succeed, so that the job would run twice. */
    @Test
    fun `exactly one of many concurrent claims for a key succeeds and the others return its submission`() {
        val stores = List(4) { store() }
        val results = List(40) { stores[it % 4].claim("k", it + 1) }.map { it.join() }
        val winner = submission(results.indexOf(ClaimResult.Claimed) + 1)
        results.count { it == ClaimResult.Claimed } shouldBe 1
        results.filter { it != ClaimResult.Claimed } shouldBe List(39) { ClaimResult.Taken(winner) }
    }

    /** Guards against one transaction per claim, which would overload the platform. */
    @Test
    fun `claims that arrive together share transactions`() {
        val store = store()
        // The first write ends when all claims have arrived, however long this thread takes for them.
        platform.writesResume = CompletableFuture()
        val claims = List(200) { store.claim("k$it", it + 1) }
        platform.writesResume.complete(Unit)
        claims.forEach { it.join() shouldBe ClaimResult.Claimed }
        platform.transactions.get() shouldBeLessThan 20
    }

    /** Guards against claims that fail because another claim in the same transaction conflicts. */
    @Test
    fun `a claimed key does not fail the other claims of its transaction`() {
        store().claim("k3", 100).join()
        val store = store()
        val results = List(10) { store.claim("k$it", it + 1) }.map { it.join() }
        results[3] shouldBe ClaimResult.Taken(submission(100))
        results.count { it == ClaimResult.Claimed } shouldBe 9
    }

    /** Guards against a claim without reply that is reported as claimed by another request, or never retried. */
    @Test
    fun `a claim whose reply was lost is recognized by its nonce, and a dropped one is retried`() {
        platform.repliesToLose.set(1)
        store().claim("lost", 1).join() shouldBe ClaimResult.Claimed
        platform.writesToDrop.set(1)
        store().claim("dropped", 2).join() shouldBe ClaimResult.Claimed
        store().claim("dropped", 3).join() shouldBe ClaimResult.Taken(submission(2))
    }

    /** Guards against a job that starts without a claim because the platform does not answer. */
    @Test
    fun `a claim is unknown if the platform does not answer`() {
        platform.isSilent = true
        store().claim("k", 1).join() shouldBe ClaimResult.Unknown
        platform.isSilent = false
        ClaimStore(null, 1.seconds, 15.minutes).claim("k", 1).join().shouldBeInstanceOf<ClaimResult.Unknown>()
    }
}
