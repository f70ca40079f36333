package medlarroute.server

import io.grpc.Status
import io.grpc.stub.StreamObserver
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.shouldBe
import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.bind
import io.kotest.property.arbitrary.int
import io.kotest.property.arbitrary.list
import io.kotest.property.arbitrary.long
import io.kotest.property.arbitrary.orNull
import io.kotest.property.arbitrary.string
import io.kotest.property.checkAll
import kotlinx.coroutines.runBlocking
import medlarroute.core.Answer
import medlarroute.core.CallerId
import medlarroute.core.EntryMember
import medlarroute.core.ExportedRecord
import medlarroute.core.ExportedTicket
import medlarroute.core.FailureCode
import medlarroute.core.FailureDomainId
import medlarroute.core.Incarnation
import medlarroute.core.InstanceId
import medlarroute.core.Refusal
import medlarroute.core.RefusalCode
import medlarroute.core.RegistryExport
import medlarroute.core.TicketId
import medlarroute.peer.HandOverReply
import org.junit.jupiter.api.Test
import kotlin.time.Duration.Companion.milliseconds

class HandOverTest {
    private val self = EntryMember(InstanceId("e1"), FailureDomainId("north"), Incarnation(7), "127.0.0.1", 21_000)

    private val answers = Arb.bind(Arb.int(0..3), Arb.string(0..2_000)) { kind, text ->
        when (kind) {
            0 -> Answer.Complete(listOf(text, "", "\"\\\u0000"))
            1 -> Answer.Failed(FailureCode.TASK_LOST, text)
            2 -> Answer.Refused(listOf(Refusal(RefusalCode.OVERLOAD, "job", text)), 250.milliseconds)
            else -> Answer.Complete(List(110) { text + it })
        }
    }
    private val records = Arb.bind(Arb.long(1L..1_000_000L), Arb.long(), answers.orNull(), ::ExportedRecord)
    private val tickets = Arb.bind(Arb.long(1L..99L), Arb.long(0L..99L), Arb.list(records, 0..8)) {
            sessionNumber,
            lowWaterSequence,
            exportedRecords,
        ->
        val id = TicketId(self.failureDomain, self.instance, self.incarnation, sessionNumber)
        ExportedTicket(id, CallerId("r"), lowWaterSequence, exportedRecords)
    }

    private class Replies : StreamObserver<HandOverReply> {
        var reply: HandOverReply? = null
        var failure: Status? = null

        override fun onNext(value: HandOverReply) {
            reply = value
        }

        override fun onError(cause: Throwable) {
            failure = Status.fromThrowable(cause)
        }

        override fun onCompleted() = Unit
    }

    /** Guards against records that are lost or changed when an export is split into batches. */
    @Test
    fun `all records arrive unchanged, however they are split into messages`() = runBlocking<Unit> {
        checkAll(PropTestConfig(seed = 1, iterations = 60), Arb.list(tickets, 0..6)) { exportedTickets ->
            val export = RegistryExport(self.home, exportedTickets.distinctBy { it.id })
            val replies = Replies()
            val received = ArrayList<RegistryExport>()
            val receiver = HandOverReceiver(replies, received::add)
            HandOver.batches(self, export).forEach(receiver::onNext)
            receiver.onCompleted()
            received shouldBe listOf(export)
            replies.reply?.submissions shouldBe export.tickets.sumOf { it.records.size }.toLong()
            replies.failure shouldBe null
        }
    }

    /** Guards against a successor that answers from a part of the records. */
    @Test
    fun `records of an incomplete hand-over are discarded`() {
        val id = TicketId(self.failureDomain, self.instance, self.incarnation, 1)
        val exportedRecords = List(20) { ExportedRecord(it + 1L, 5, Answer.Complete(listOf("x".repeat(100_000)))) }
        val batches = HandOver.batches(
            self,
            RegistryExport(self.home, listOf(ExportedTicket(id, CallerId("r"), 0, exportedRecords))),
        )
        val received = ArrayList<RegistryExport>()
        val replies = Replies()
        val receiver = HandOverReceiver(replies, received::add)
        batches.dropLast(1).forEach(receiver::onNext)
        receiver.onCompleted()
        received.shouldBeEmpty()
        replies.failure?.code shouldBe Status.Code.INVALID_ARGUMENT
    }
}
